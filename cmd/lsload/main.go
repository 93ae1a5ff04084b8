// Command lsload is the load and experiment tool. It sends traffic to loopback only.
package main

import (
	"os"

	"github.com/lavendershunt/lavendershunt/pkg/load/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
