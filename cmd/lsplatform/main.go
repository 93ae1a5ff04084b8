// Command lsplatform runs the stand-in for the platform: object API, VM list and weight store, with fault injection.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

type settings struct {
	Listen          string        `yaml:"listen" validate:"required"`
	Seed            uint64        `yaml:"seed"`
	WritesPerSecond int           `yaml:"writes_per_second"`
	ReadsPerSecond  int           `yaml:"reads_per_second"`
	History         int           `yaml:"history" validate:"min=0"`
	VMLag           time.Duration `yaml:"vm_lag" validate:"min=0"`
	// WeightBytesPerSecond limits reads from the weight store; 0 or less means no limit.
	WeightBytesPerSecond int           `yaml:"weight_bytes_per_second"`
	VMs                  []platform.VM `yaml:"vms"`
}

func main() {
	path := flag.String("settings", "", "path of the YAML settings file")
	listen := flag.String("listen", "", "IP address and port; replaces the setting listen")
	flag.Parse()
	if err := run(*path, *listen); err != nil {
		log.WithError(err).Error("lsplatform failed")
		os.Exit(1)
	}
}

func run(path, listen string) error {
	s := settings{Listen: "127.0.0.1:7000", Seed: 1, WeightBytesPerSecond: 100 << 20}
	if path != "" {
		if err := standin.LoadSettings(path, &s); err != nil {
			return err
		}
	}
	for i, vm := range s.VMs {
		if err := memstore.CheckVM(vm); err != nil {
			return fmt.Errorf("settings file %s: vms[%d]: %w", path, i, err)
		}
	}
	if listen != "" {
		s.Listen = listen
	}
	store := memstore.New(memstore.Options{
		WritesPerSecond: s.WritesPerSecond,
		ReadsPerSecond:  s.ReadsPerSecond,
		History:         s.History,
		VMLag:           s.VMLag,
		Seed:            s.Seed,
	})
	store.SetVMs(s.VMs)
	server := memstore.NewServer(store, s.WeightBytesPerSecond)
	return standin.Run(standin.NewServer("lsplatform", server.Handle, memstore.MaxBodyBytes), s.Listen)
}
