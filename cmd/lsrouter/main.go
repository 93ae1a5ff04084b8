// Command lsrouter is the router process of one entry VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/router"
	"github.com/lavendershunt/lavendershunt/pkg/settings"
)

func main() {
	path := flag.String("settings", "lsrouter.yaml", "path of the YAML settings file")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, "lsrouter:", err)
		os.Exit(1)
	}
}

func run(path string, check bool) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	r, err := router.New(s)
	if err != nil {
		return err
	}
	// The global logger is used by packages that are not given one.
	log.Log = r.Log()
	// Signals are caught until the process exits, so that a second one does not interrupt streams.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		<-signals
		stop()
	}()
	return r.Run(ctx)
}
