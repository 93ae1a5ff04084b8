package configcheck

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/retry"
)

func cleanConfig() catalog.Config {
	return catalog.Config{
		Version: 7,
		Routes: []catalog.Route{
			{Name: "r1", Host: "h", Prefix: "/a/", Timeout: time.Second, Objective: time.Second, PauseObjective: time.Second, MaxAttempts: 3,
				Backends: []catalog.Backend{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}},
			{Name: "r2", Host: "h", Prefix: "/a/b/", Timeout: time.Second, MaxAttempts: 1, Backends: []catalog.Backend{{Service: "x", Weight: 1}}},
		},
		Services:      []catalog.Service{{Name: "x", TokensPerEvent: 4, Slots: 64, MaxConnections: 9}, {Name: "y", MaxConnections: 9}},
		Organisations: []catalog.Organisation{{Name: "o", Keys: []string{"k1", "k2"}, Prepaid: 500, Limited: true}, {Name: "p", Keys: []string{"k3"}}},
		Limits:        catalog.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 2000},
	}
}

// Guards against a fault that isn't found, that is reported for another entry or field, or that is reported for a
// configuration at the bounds.
func TestReview(t *testing.T) {
	bounds := Bounds{HeaderBytes: 1000, MemoryBytes: 2000, RequestTokens: 500, Retry: &retry.Limits{Extra: 10, Window: time.Second}, Routers: 4}
	must.SliceEmpty(t, Review(cleanConfig(), nil, bounds))
	for _, c := range []struct {
		want string
		edit func(*catalog.Config)
	}{
		{`error route "r1" host`, func(c *catalog.Config) { c.Routes[0].Host = "" }},
		{`error route "r1" prefix`, func(c *catalog.Config) { c.Routes[0].Prefix = "/a" }},
		{`error route "r2" backends`, func(c *catalog.Config) { c.Routes[1].Backends = nil }},
		{`error route "r2" timeout`, func(c *catalog.Config) { c.Routes[1].Timeout = 0 }},
		{`warning route "r2" prefix`, func(c *catalog.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "H", "/a/" }},
		{`warning route "r1" backends`, func(c *catalog.Config) { c.Routes[0].Backends[1].Weight = 0 }},
		{`warning route "r2" backends`, func(c *catalog.Config) { c.Routes[1].Backends[0].Weight = 0 }},
		{`error route "r2" backends`, func(c *catalog.Config) { c.Routes[1].Backends[0].Service = "z" }},
		{`warning route "r1" timeout`, func(c *catalog.Config) { c.Routes[0].Objective++ }},
		{`warning route "r1" pause objective`, func(c *catalog.Config) { c.Routes[0].PauseObjective++ }},
		{`warning route "r1" max attempts`, func(c *catalog.Config) { c.Routes[0].MaxAttempts++ }},
		{`warning service "y" name`, func(c *catalog.Config) { c.Routes[0].Backends = c.Routes[0].Backends[:1] }},
		{`warning service "x" slots`, func(c *catalog.Config) { c.Services[0].Slots = 0 }},
		{`warning service "y" connections`, func(c *catalog.Config) { c.Services[1].MaxConnections = 0 }},
		{`error organisation "p" keys`, func(c *catalog.Config) { c.Organisations[1].Keys = []string{"k1"} }},
		{`error organisation "p" keys`, func(c *catalog.Config) { c.Organisations[1].Keys = []string{""} }},
		{`warning organisation "p" keys`, func(c *catalog.Config) { c.Organisations[1].Keys = nil }},
		{`warning organisation "o" prepaid`, func(c *catalog.Config) { c.Organisations[0].Prepaid-- }},
		{`warning limits header bytes`, func(c *catalog.Config) { c.Limits.MaxHeaderBytes++ }},
		{`warning limits body bytes`, func(c *catalog.Config) { c.Limits.MaxBodyBytes++ }},
		{`warning configuration version`, func(c *catalog.Config) { c.Version = 0 }},
		{`warning configuration routes`, func(c *catalog.Config) { c.Routes, c.Services = nil, nil }},
		{`warning route "r1" name`, func(c *catalog.Config) { c.Routes[1].Name = "r1" }},
	} {
		config := cleanConfig()
		c.edit(&config)
		findings := Review(config, nil, bounds)
		must.Len(t, 1, findings, must.Sprint(c.want, findings))
		f := findings[0]
		must.EqOp(t, c.want, fmt.Sprintf("%s %s %s", f.Severity, f.Entry, f.Field))
		for _, key := range []string{"k1", "k2", "k3"} {
			must.StrNotContains(t, f.Text, key)
		}
	}
}

// Guards against differences that are left out, show a key, or are reported for equal configurations.
func TestCompare(t *testing.T) {
	next := cleanConfig()
	changes, findings := Compare(cleanConfig(), next)
	must.SliceEmpty(t, changes)
	must.EqOp(t, Warning, findings[0].Severity)

	next.Version = 6
	next.Routes[1].Name, next.Services[1].Name = "r3", "z"
	next.Routes[0].Timeout = 2 * time.Second
	next.Services[0].Slots = 32
	next.Organisations[0].Keys = []string{"k1", "k9"}
	next.Organisations[1] = catalog.Organisation{Name: "q"}
	next.Limits.MaxBodyBytes = 3000
	changes, findings = Compare(cleanConfig(), next)
	must.EqOp(t, Error, findings[0].Severity)
	must.Eq(t, []Change{
		{Action: "removed", Entry: `route "r2"`}, {Action: "removed", Entry: `service "y"`}, {Action: "removed", Entry: `organisation "p"`},
		{"changed", `route "r1"`, "timeout", "1s", "2s"}, {Action: "added", Entry: `route "r3"`},
		{"changed", `service "x"`, "slots", "64", "32"}, {Action: "added", Entry: `service "z"`},
		{"changed", `organisation "o"`, "keys", "2 keys, hash " + keyHash("k2", "k1"), "2 keys, hash " + keyHash("k1", "k9")},
		{Action: "added", Entry: `organisation "q"`}, {"changed", "limits", "body bytes", "2000", "3000"},
	}, changes)
	next.Version = 8
	_, findings = Compare(cleanConfig(), next)
	must.SliceEmpty(t, findings)
}

// Guards against a field that is added to the catalog and left out of the comparison.
func TestEveryFieldIsCompared(t *testing.T) {
	for _, part := range []func(*catalog.Config) any{
		func(c *catalog.Config) any { return &c.Routes[1] }, func(c *catalog.Config) any { return &c.Services[1] },
		func(c *catalog.Config) any { return &c.Organisations[1] }, func(c *catalog.Config) any { return &c.Limits },
	} {
		fields := reflect.TypeOf(part(new(cleanConfig()))).Elem()
		for i := range fields.NumField() {
			before, next := cleanConfig(), cleanConfig()
			for _, c := range []*catalog.Config{&before, &next} {
				// Values that apply only with a flag, or only if the flag isn't set.
				c.Organisations[1].HasPriority, c.Organisations[1].Limited = true, true
			}
			switch f := reflect.ValueOf(part(&next)).Elem().Field(i); f.Kind() {
			case reflect.Bool:
				f.SetBool(!f.Bool())
			case reflect.String:
				f.SetString("other")
			case reflect.Slice:
				f.Set(reflect.MakeSlice(f.Type(), 1, 1))
			case reflect.Float64:
				f.SetFloat(f.Float() + 1)
			default:
				f.SetInt(f.Int() + 1)
			}
			changes, _ := Compare(before, next)
			must.Positive(t, len(changes), must.Sprintf("%s.%s isn't compared", fields.Name(), fields.Field(i).Name))
		}
	}
}
