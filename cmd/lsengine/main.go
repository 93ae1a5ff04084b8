// Command lsengine runs the stand-in for a model engine.
package main

import (
	"flag"
	"os"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/engine"
)

// crashExitCode is the exit code after a poison request or an injected crash.
const crashExitCode = 3

type settings struct {
	Listen string `yaml:"listen" validate:"required"`
	// WeightStore is the IP address and port of the platform's weight store; if empty, loads take no time.
	WeightStore string        `yaml:"weight_store"`
	Engine      engine.Config `yaml:"engine"`
}

func main() {
	path := flag.String("settings", "", "path of the YAML settings file")
	listen := flag.String("listen", "", "IP address and port; replaces the setting listen")
	flag.Parse()
	if err := run(*path, *listen); err != nil {
		log.WithError(err).Error("lsengine failed")
		os.Exit(1)
	}
}

func run(path, listen string) error {
	s := settings{Listen: "127.0.0.1:7100", Engine: engine.DefaultConfig("demo")}
	if path != "" {
		if err := standin.LoadSettings(path, &s); err != nil {
			return err
		}
	}
	if listen != "" {
		s.Listen = listen
	}
	s.Engine.OnCrash = func() {
		log.Error("lsengine exits after a poison request or an injected crash")
		os.Exit(crashExitCode)
	}
	if s.WeightStore != "" {
		s.Engine.FetchWeights = engine.NewWeightFetcher(s.WeightStore)
	}
	e, err := engine.New(s.Engine)
	if err != nil {
		return err
	}
	return standin.Run(standin.NewServer("lsengine", e.Handle, engine.MaxBodyBytes), s.Listen)
}
