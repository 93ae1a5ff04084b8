// Command lsctl is the operators' command. It talks to the admin API of any entry VM.
package main

import (
	"context"
	"os"

	"github.com/lavendershunt/lavendershunt/pkg/admin/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:]))
}
