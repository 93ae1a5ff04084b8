package fleet_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
)

// Guards against load or faults that reach another machine because of an address in the fleet file.
func TestCheckLoopback(t *testing.T) {
	for _, address := range []string{
		"10.0.0.1:80", "128.0.0.1:80", "localhost:80", "127.0.0.1", "127.0.0.1:0", "0.0.0.0:80", "[::1]:80", "[::ffff:127.0.0.1]:80", "",
	} {
		must.ErrorContains(t, fleet.CheckLoopback("engines[0].address", address), "engines[0].address", must.Sprint(address))
	}
	must.NoError(t, fleet.CheckLoopback("x", "127.255.0.3:8080"))
}

// Guards against an address of the fleet file that is not checked for loopback, and other invalid fields.
func TestValidateNamesTheField(t *testing.T) {
	validFleet := func() fleet.Fleet {
		return fleet.Fleet{
			Platform: fleet.Process{Address: "127.0.0.1:1"},
			Routers:  []fleet.Router{{VM: "e1", Caller: "127.0.0.1:2", Admin: "127.0.0.1:3"}},
			Engines:  []fleet.Process{{VM: "g1", Address: "127.0.0.1:4"}},
			Services: []fleet.Process{{VM: "s1", Address: "127.0.0.1:5"}},
			Keys:     []fleet.Key{{Organisation: "velocar", Key: "k"}},
		}
	}
	must.NoError(t, validFleet().Validate())
	for field, invalidate := range map[string]func(*fleet.Fleet){
		"platform.address":    func(f *fleet.Fleet) { f.Platform.Address = "8.8.8.8:1" },
		"routers[0].caller":   func(f *fleet.Fleet) { f.Routers[0].Caller = "8.8.8.8:1" },
		"routers[0].admin":    func(f *fleet.Fleet) { f.Routers[0].Admin = "8.8.8.8:1" },
		"engines[0].address":  func(f *fleet.Fleet) { f.Engines[0].Address = "8.8.8.8:1" },
		"services[0].address": func(f *fleet.Fleet) { f.Services[0].Address = "8.8.8.8:1" },
		"routers":             func(f *fleet.Fleet) { f.Routers = nil },
		"keys[0]":             func(f *fleet.Fleet) { f.Keys[0].Key = "" },
	} {
		f := validFleet()
		invalidate(&f)
		must.ErrorContains(t, f.Validate(), field)
	}
}
