// Command lsservice runs the stand-in for a plain service.
package main

import (
	"flag"
	"os"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/service"
)

type settings struct {
	Listen  string         `yaml:"listen" validate:"required"`
	Service service.Config `yaml:"service"`
}

func main() {
	path := flag.String("settings", "", "path of the YAML settings file")
	listen := flag.String("listen", "", "IP address and port; replaces the setting listen")
	flag.Parse()
	if err := run(*path, *listen); err != nil {
		log.WithError(err).Error("lsservice failed")
		os.Exit(1)
	}
}

func run(path, listen string) error {
	s := settings{Listen: "127.0.0.1:7200"}
	if path != "" {
		if err := standin.LoadSettings(path, &s); err != nil {
			return err
		}
	}
	if listen != "" {
		s.Listen = listen
	}
	handler := service.New(s.Service)
	return standin.Run(standin.NewServer("lsservice", handler.Handle, service.MaxBodyBytes), s.Listen)
}
