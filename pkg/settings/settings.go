// Package settings reads the static YAML settings of lsrouter.
package settings

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// MaxFileBytes bounds the size of a settings file.
const MaxFileBytes = 16 << 10

// ErrInvalid is wrapped by every error about the content of a settings file.
var ErrInvalid = errors.New("settings: invalid")

// Settings are the static settings of one router. Addresses are IP addresses with ports.
type Settings struct {
	// VM is the name of the VM in the platform's VM list.
	VM string `yaml:"vm" validate:"required,name"`
	// Region is the region of the VM.
	Region string `yaml:"region" validate:"required,name"`
	// Zone is the availability zone of the VM.
	Zone      string    `yaml:"zone" validate:"required,name"`
	Listen    Listen    `yaml:"listen" validate:"required"`
	Advertise Advertise `yaml:"advertise" validate:"required"`
	Platform  Platform  `yaml:"platform" validate:"required"`
	// Peers are peer API addresses that are tried when the platform can't be reached.
	Peers []string `yaml:"peers" validate:"max=64,unique,dive,ip_port"`
	// Witnesses has one entry for each router that keeps a copy of this router's journal: the location of that router
	// relative to this one. docs/operate-partition.md describes the cost of each choice.
	Witnesses []string  `yaml:"witnesses" validate:"min=1,max=3,dive,oneof=same-zone other-zone other-region anywhere"`
	Intervals Intervals `yaml:"intervals"`
	Log       Log       `yaml:"log"`
	// OperatorKeys are SHA-256 hashes in hex of operator keys that are valid before any configuration exists.
	OperatorKeys []string `yaml:"operator_keys" validate:"max=16,unique,dive,sha256_hex"`
}

// Listen holds the addresses on which the router listens.
type Listen struct {
	Caller string `yaml:"caller" validate:"required,ip_port"`
	Peer   string `yaml:"peer" validate:"required,ip_port"`
	Admin  string `yaml:"admin" validate:"required,ip_port"`
}

// Advertise holds the addresses at which callers and peers connect to the router.
type Advertise struct {
	Caller string `yaml:"caller" validate:"required,ip_port"`
	Peer   string `yaml:"peer" validate:"required,ip_port"`
}

// Platform holds the address of the platform and the timeout of calls to it.
type Platform struct {
	Address string   `yaml:"address" validate:"required,ip_port"`
	Timeout Duration `yaml:"timeout" validate:"between=10ms 60s"`
}

// Intervals holds the periods of background work.
type Intervals struct {
	// Probe is the period of membership probes.
	Probe Duration `yaml:"probe" validate:"between=10ms 60s"`
	// ProbeTimeout is the time after which an unanswered direct probe counts as failed.
	ProbeTimeout Duration `yaml:"probe_timeout" validate:"between=1ms 30s"`
	// FailedAfter is the time after which an unreachable router is considered failed.
	FailedAfter Duration `yaml:"failed_after" validate:"between=100ms 10m"`
	// FullSync is the period of full membership exchanges.
	FullSync Duration `yaml:"full_sync" validate:"between=1s 10m"`
	// ConfigExchange is the period of configuration comparisons with a random peer.
	ConfigExchange Duration `yaml:"config_exchange" validate:"between=50ms 60s"`
	// Watch is the maximum duration of one platform watch call.
	Watch Duration `yaml:"watch" validate:"between=100ms 5m"`
	// VMList is the period at which the platform's VM list is read.
	VMList Duration `yaml:"vm_list" validate:"between=100ms 5m"`
	// AddressTTL is the time for which callers may cache the response to an address request.
	AddressTTL Duration `yaml:"address_ttl" validate:"between=100ms 10m"`
}

// Log selects the format and the level of the log.
type Log struct {
	Format string `yaml:"format" validate:"oneof=json text"`
	Level  string `yaml:"level" validate:"oneof=debug info warn error"`
}

// Duration is a time.Duration written as a number with a unit, such as 300ms.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// Default returns the default values of the settings that a file may omit.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration(2 * time.Second)},
		Intervals: Intervals{
			Probe:          Duration(time.Second),
			ProbeTimeout:   Duration(300 * time.Millisecond),
			FailedAfter:    Duration(10 * time.Second),
			FullSync:       Duration(30 * time.Second),
			ConfigExchange: Duration(time.Second),
			Watch:          Duration(3 * time.Second),
			VMList:         Duration(time.Second),
			AddressTTL:     Duration(5 * time.Second),
		},
		Witnesses: []string{"same-zone", "other-zone"},
		Log:       Log{Format: "json", Level: "info"},
	}
}

// Load reads and validates a settings file. Errors about its content wrap ErrInvalid and name the field.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if info.Size() > MaxFileBytes {
		return Settings{}, fmt.Errorf("%w: %s is larger than %d bytes", ErrInvalid, path, MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}
