// Package deps keeps the project's declared libraries in go.mod while packages are being added.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/apex/log"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/goccy/go-yaml"
	_ "github.com/gofiber/fiber/v3"
	_ "github.com/looplab/fsm"
	_ "github.com/shoenig/test"
	_ "github.com/sourcegraph/conc"
	_ "github.com/valyala/fasthttp"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "gonum.org/v1/plot"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
