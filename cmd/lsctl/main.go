// Command lsctl is the command-line tool of operators. It calls the admin API of any entry VM.
package main

import (
	"context"
	"os"

	"github.com/lavendershunt/lavendershunt/pkg/admin/cli"
	"github.com/lavendershunt/lavendershunt/pkg/entry"
	"github.com/lavendershunt/lavendershunt/pkg/retry"
	"github.com/lavendershunt/lavendershunt/platform"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], newFormat()))
}

// newFormat returns the format of the platform's configurations, for the command check.
func newFormat() cli.ConfigFormat {
	return cli.ConfigFormat{
		Decode: platform.ParseConfig, Field: platform.ConfigField, HeaderBytes: entry.MaxHeaderBytes,
		Read: func(ctx context.Context, address string) ([]byte, error) {
			return platform.ReadConfig(ctx, platform.NewStore(address))
		},
		Retry: func(data []byte) (retry.Limits, error) {
			settings, err := platform.ParseSettings(data)
			return settings.Entry.Retry, err
		},
	}
}
