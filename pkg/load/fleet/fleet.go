// Package fleet reads the fleet file, which lists the processes of a fleet for the load tool.
package fleet

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// Fleet lists the processes that a run sends load and faults to.
type Fleet struct {
	Platform Process `yaml:"platform"`
	// OperatorKey is a bearer key that is valid at each router's admin API.
	OperatorKey string    `yaml:"operator_key"`
	Routers     []Router  `yaml:"routers"`
	Engines     []Process `yaml:"engines"`
	Services    []Process `yaml:"services"`
	Keys        []Key     `yaml:"keys"`
}

// Process is a process with one address.
type Process struct {
	// VM is the name of its VM in the platform's list.
	VM string `yaml:"vm"`
	// Address is an IP address with a port.
	Address string `yaml:"address"`
	// PID is the process id; 0 if the tool must not send signals to the process.
	PID int `yaml:"pid"`
}

// Router is a router process. Caller and Admin are the addresses of its caller and admin APIs.
type Router struct {
	VM     string `yaml:"vm"`
	Zone   string `yaml:"zone"`
	Caller string `yaml:"caller"`
	Admin  string `yaml:"admin"`
	PID    int    `yaml:"pid"`
}

// Key is a bearer key of an organisation.
type Key struct {
	Organisation string `yaml:"organisation"`
	// Budget is the default budget of the key, without the organisation as prefix.
	Budget string `yaml:"budget"`
	Key    string `yaml:"key"`
}

// Load reads and validates a fleet file. Validation errors name the field.
func Load(path string) (Fleet, error) {
	var f Fleet
	if err := standin.LoadSettings(path, &f); err != nil {
		return Fleet{}, err
	}
	if err := f.Validate(); err != nil {
		return Fleet{}, fmt.Errorf("fleet file %s: %w", path, err)
	}
	return f, nil
}

// Validate returns an error that names the invalid field. All addresses must be in 127.0.0.0/8.
func (f Fleet) Validate() error {
	if len(f.Routers) == 0 {
		return fmt.Errorf("routers: at least one is needed")
	}
	if err := CheckLoopback("platform.address", f.Platform.Address); err != nil {
		return err
	}
	for i, r := range f.Routers {
		for _, a := range [][2]string{{"caller", r.Caller}, {"admin", r.Admin}} {
			if err := CheckLoopback(fmt.Sprintf("routers[%d].%s", i, a[0]), a[1]); err != nil {
				return err
			}
		}
	}
	for _, list := range []struct {
		field     string
		processes []Process
	}{{"engines", f.Engines}, {"services", f.Services}} {
		for i, p := range list.processes {
			if err := CheckLoopback(fmt.Sprintf("%s[%d].address", list.field, i), p.Address); err != nil {
				return err
			}
		}
	}
	for i, k := range f.Keys {
		if k.Organisation == "" || k.Key == "" {
			return fmt.Errorf("keys[%d]: organisation and key are required", i)
		}
	}
	return nil
}

// CheckLoopback returns an error unless address is an IP address in 127.0.0.0/8 with a port. The load tool never sends
// traffic anywhere else.
func CheckLoopback(field, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || !netip.MustParsePrefix("127.0.0.0/8").Contains(parsed.Addr()) {
		return fmt.Errorf("%s: %q is not allowed; allowed is an IP address in 127.0.0.0/8 with a port", field, address)
	}
	return nil
}

// Router returns the router on a VM, and false if there is none.
func (f Fleet) Router(vm string) (Router, bool) {
	i := slices.IndexFunc(f.Routers, func(r Router) bool { return r.VM == vm })
	if i < 0 {
		return Router{}, false
	}
	return f.Routers[i], true
}

// RouterVMs returns the names of the entry VMs.
func (f Fleet) RouterVMs() []string {
	names := make([]string, len(f.Routers))
	for i, r := range f.Routers {
		names[i] = r.VM
	}
	return names
}

// Find returns the process on a VM: a router, an engine, a service or the platform. It returns false if there is none.
func (f Fleet) Find(vm string) (Process, bool) {
	if r, ok := f.Router(vm); ok {
		return Process{VM: r.VM, Address: r.Caller, PID: r.PID}, true
	}
	for _, list := range [][]Process{f.Engines, f.Services, {f.Platform}} {
		if i := slices.IndexFunc(list, func(p Process) bool { return p.VM == vm }); i >= 0 {
			return list[i], true
		}
	}
	return Process{}, false
}

// KeyOf returns the first key of an organisation, and false if there is none.
func (f Fleet) KeyOf(organisation string) (Key, bool) {
	i := slices.IndexFunc(f.Keys, func(k Key) bool { return k.Organisation == organisation })
	if i < 0 {
		return Key{}, false
	}
	return f.Keys[i], true
}
