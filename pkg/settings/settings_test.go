package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const validSettings = `vm: entry-a1
region: north
zone: north-a
listen: {caller: "127.0.0.1:8080", peer: "127.0.0.1:8081", admin: "127.0.0.1:8082"}
advertise: {caller: "127.0.0.1:8080", peer: "127.0.0.1:8081"}
platform: {address: "127.0.0.1:7000", timeout: 1s}
peers: ["127.0.0.1:9081"]
intervals: {probe: 500ms, probe_timeout: 200ms, failed_after: 5s}
log: {format: text, level: debug}
`

// Guards against settings that are decoded incorrectly, and against lost defaults when a mapping has only some fields.
func TestParse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.yaml")
	must.NoError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	s, err := Load(path)
	must.NoError(t, err)
	must.Eq(t, "north-a", s.Zone)
	must.Eq(t, time.Second, s.Platform.Timeout.Std())
	must.Eq(t, 500*time.Millisecond, s.Intervals.Probe.Std())
	must.Eq(t, 30*time.Second, s.Intervals.FullSync.Std())
	must.Eq(t, Log{Format: "text", Level: "debug"}, s.Log)
	must.Eq(t, []string{"same-zone", "other-zone"}, s.Witnesses)
	s, err = Parse([]byte(validSettings + "witnesses: [other-zone, other-zone, other-region]\n"))
	must.NoError(t, err)
	must.Eq(t, []string{"other-zone", "other-zone", "other-region"}, s.Witnesses)
}

// Guards against accepting invalid settings, and against errors that don't name the field or what is allowed.
func TestParseRejectsInvalidSettings(t *testing.T) {
	cases := []struct{ name, old, new, path, allowed string }{
		{"unknown field", "vm: entry-a1", "vm: entry-a1\nweight: 3", "weight: unknown field", "vm, region"},
		{"unknown nested field", "{format: text", "{colour: red, format: text", "log.colour: unknown field", "format, level"},
		{"missing field", "vm: entry-a1\n", "", "vm: is required", ""},
		{"unit missing", "probe: 500ms", "probe: 500", "intervals.probe: 500 is not a duration", "ms, s, m or h"},
		{"unit unknown", "probe: 500ms", "probe: 5 days", "intervals.probe: 5 days is not a duration", "ms, s, m or h"},
		{"out of range", "probe: 500ms", "probe: 500h", "intervals.probe: 500h0m0s is out of range", "10ms to 60s"},
		{"host name", `platform: {address: "127.0.0.1:7000"`, `platform: {address: "platform:7000"`, "platform.address: \"platform:7000\" is not allowed", "IP address"},
		{"host name of a peer", `["127.0.0.1:9081"]`, `["entry-b1:9081"]`, "peers[0]: \"entry-b1:9081\" is not allowed", "IP address"},
		{"port 0", `caller: "127.0.0.1:8080", peer: "127.0.0.1:8081", admin`, `caller: "127.0.0.1:0", peer: "127.0.0.1:8081", admin`, "listen.caller: ", "port 0"},
		{"duplicate address", `admin: "127.0.0.1:8082"`, `admin: "127.0.0.1:8081"`, "listen.admin: 127.0.0.1:8081 is also used by listen.peer", "distinct"},
		{"overlap with all interfaces", `admin: "127.0.0.1:8082"`, `admin: "0.0.0.0:8081"`, "listen.admin: 0.0.0.0:8081 is also used by listen.peer", "distinct"},
		{"duplicate peer", `["127.0.0.1:9081"]`, `["127.0.0.1:9081", "127.0.0.1:9081"]`, "peers: contains a duplicate value", ""},
		{"own address as peer", `["127.0.0.1:9081"]`, `["127.0.0.1:8081"]`, "peers[0]: 127.0.0.1:8081 is the address of listen.peer", "other routers"},
		{"unspecified advertised address", `advertise: {caller: "127.0.0.1:8080"`, `advertise: {caller: "0.0.0.0:8080"`, "advertise.caller: 0.0.0.0:8080 can't be connected to", "this VM"},
		{"advertised address does not match listen address", `advertise: {caller: "127.0.0.1:8080"`, `advertise: {caller: "10.0.0.1:8080"`, "advertise.caller: 10.0.0.1:8080 does not match listen.caller", "loopback"},
		{"probe timeout", "probe_timeout: 200ms", "probe_timeout: 400ms", "intervals.probe_timeout: 400ms is too long", "half of intervals.probe"},
		{"failed too early", "failed_after: 5s", "failed_after: 600ms", "intervals.failed_after: 600ms is too short", "twice"},
		{"log level", "level: debug", "level: loud", "log.level: \"loud\" is not allowed", "debug, info, warn, error"},
		{"sequence wanted", `["127.0.0.1:9081"]`, `"127.0.0.1:9081"`, "peers: must be a sequence", ""},
		{"mapping wanted", "log: {format: text, level: debug}", "log: json", "log: must be a mapping", "format, level"},
		{"string wanted", "vm: entry-a1", "vm: 17", "vm: must be a string", ""},
		{"name", "vm: entry-a1", "vm: Entry A1", "vm: \"Entry A1\" is not a name", "a-z"},
		{"operator key", "vm: entry-a1", "vm: entry-a1\noperator_keys: [secret]", "operator_keys[0]: is not a SHA-256 hash", "64 characters"},
		{"witness scope", "vm: entry-a1", "vm: entry-a1\nwitnesses: [same-zone, north-b]", "witnesses[1]: \"north-b\" is not allowed", "same-zone, other-zone, other-region, anywhere"},
		{"no witness scope", "vm: entry-a1", "vm: entry-a1\nwitnesses: []", "witnesses: has too few values", "at least 1"},
		{"too many witness scopes", "vm: entry-a1", "vm: entry-a1\nwitnesses: [anywhere, anywhere, anywhere, anywhere]", "witnesses: has too many values", "at most 3"},
		{"witnesses not a sequence", "vm: entry-a1", "vm: entry-a1\nwitnesses: anywhere", "witnesses: must be a sequence", ""},
		{"field twice", "vm: entry-a1", "vm: entry-a1\nvm: entry-a2", "\"vm\" already defined", ""},
		{"not YAML", "vm: entry-a1", "vm: [", "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validSettings, c.old, c.new, 1)
			must.NotEq(t, validSettings, text)
			_, err := Parse([]byte(text))
			must.ErrorIs(t, err, ErrInvalid)
			must.StrContains(t, err.Error(), c.path)
			must.StrContains(t, err.Error(), c.allowed)
		})
	}
}

// Guards against input that makes Parse panic, and against Parse accepting settings that Validate rejects.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("vm: &a [*a]"))
	f.Add([]byte("intervals: {probe: .5s}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			must.ErrorIs(t, err, ErrInvalid)
			return
		}
		must.NoError(t, Validate(s))
	})
}
