// Package logging creates the logger of a process and limits its output.
package logging

import (
	"fmt"
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// New returns a logger that writes to w. The format is json or text, the level debug, info, warn or error.
func New(w io.Writer, format, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logging: parse level %q: %w", level, err)
	}
	var handler log.Handler
	switch format {
	case "json":
		handler = json.New(w)
	case "text":
		handler = text.New(w)
	default:
		return nil, fmt.Errorf("logging: unknown format %q; allowed are json and text", format)
	}
	return &log.Logger{Handler: handler, Level: parsed}, nil
}
