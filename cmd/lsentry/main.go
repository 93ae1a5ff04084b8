// Command lsentry runs the router of one entry VM on the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/entry"
	"github.com/lavendershunt/lavendershunt/pkg/logging"
	"github.com/lavendershunt/lavendershunt/platform"
)

func main() {
	path := flag.String("settings", os.Getenv(platform.SettingsEnv), "path of the platform's settings file")
	check := flag.Bool("check", false, "check the settings and exit")
	level := flag.String("log-level", "info", "debug, info, warn or error")
	flag.Parse()
	if err := run(*path, *level, *check); err != nil {
		fmt.Fprintln(os.Stderr, "lsentry:", err)
		os.Exit(1)
	}
}

func run(path, level string, check bool) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	output := logging.NewBoundedWriter(os.Stdout)
	defer output.Close()
	logger, err := logging.New(output, "json", level)
	if err != nil {
		return err
	}
	log.Log = logger
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	router, err := entry.New(settings.Entry, platform.NewAdapter(platform.NewStore(settings.StoreAddress)), logger)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go watchSignals(signals, stop, path, logger)
	return router.Run(ctx)
}

// watchSignals calls stop on SIGTERM or SIGINT and validates the settings file on SIGHUP. It keeps handling signals after
// the first one, so that a second one doesn't end the process while streams are open.
func watchSignals(signals <-chan os.Signal, stop func(), path string, logger log.Interface) {
	for s := range signals {
		if s != syscall.SIGHUP {
			stop()
			continue
		}
		if _, err := platform.LoadSettings(path); err != nil {
			logger.WithError(err).Error("reload_failed")
			continue
		}
		logger.Info("reload")
	}
}
