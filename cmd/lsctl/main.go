// Command lsctl is the command-line tool of operators. It calls the admin API of any entry VM.
package main

import (
	"context"
	"os"

	"github.com/lavendershunt/lavendershunt/pkg/admin/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:]))
}
