package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/admin/cli"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
	"github.com/lavendershunt/lavendershunt/platform/standin"
)

// example was printed by the users' bench (fleetbench wire).
const example = "testdata/config.json"

func run(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	env := cli.Env{Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" }, Now: time.Now, Format: newFormat()}
	code := cli.Run(t.Context(), append([]string{"check"}, args...), env)
	for _, key := range []string{"yhks8nbkxxmibw6kpqk8", "bdk9eevyxq2yyazax6pw"} {
		must.StrNotContains(t, out.String(), key)
	}
	return code, out.String()
}

// edited returns the path of the example with texts replaced, and its content.
func edited(t *testing.T, replace ...string) (string, []byte) {
	data, err := os.ReadFile(example)
	must.NoError(t, err)
	data = []byte(strings.NewReplacer(replace...).Replace(string(data)))
	path := filepath.Join(t.TempDir(), "config.json")
	must.NoError(t, os.WriteFile(path, data, 0o600))
	return path, data
}

// Guards against findings for a configuration of the users' bench, a wrong exit code, a field that isn't named as in the
// file, and a key in the output.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		code    int
		replace []string
		args    string
		want    string
	}{
		{cli.ExitOK, nil, "-memory-mb 536 -request-tokens 4096", "0 errors, 0 warnings"},
		{cli.ExitWarnings, []string{`"slots":64`, `"slots":0`}, "", "engine.slots"},
		{cli.ExitWarnings, []string{`"target_latency_ms":600`, `"target_latency_ms":6000`}, "", "timeout_ms"},
		{cli.ExitWarnings, []string{`"target_gap_ms":250`, `"target_gap_ms":20000`}, "", "target_gap_ms"},
		{cli.ExitWarnings, nil, "-memory-mb 3", "max_body_bytes"},
		{cli.ExitWarnings, []string{"16384", "65537"}, "", "max_header_bytes"},
		{cli.ExitWarnings, nil, "-request-tokens 30771081", "prepaid"},
		{cli.ExitWarnings, nil, "-settings testdata/settings.json -routers 200", "max_attempts"},
		{cli.ExitOK, nil, "-settings testdata/settings.json -routers 100", "0 warnings"},
		{cli.ExitErrors, []string{`"streaming"`, `"perhaps"`, `:5000`, `:0`}, "", "3 errors"},
		{cli.ExitErrors, []string{`"service":"wuno96b"`, `"service":"gone"`}, "", `service "gone"`},
		{cli.ExitErrors, []string{`,"services"`, ",\n,"}, "", "line 2, byte 1"},
		{cli.ExitErrors, []string{`["yhks8nbkxxmibw6kpqk8"`, `[5`}, "", "tenants.api_keys"},
		{cli.ExitUsage, nil, "-settings testdata/config.json", "node_name"},
		{cli.ExitUsage, nil, "-against gone.json", "gone.json"},
		{cli.ExitUnavailable, nil, "-store 127.0.0.1:1", "-store"},
		{cli.ExitErrors, []string{`"version":7`, `"version":6`, "bdk9", "bdk8"}, "-against " + example, "2 keys, hash"},
	} {
		path, _ := edited(t, c.replace...)
		code, out := run(t, append([]string{path}, strings.Fields(c.args)...)...)
		must.EqOp(t, c.code, code, must.Sprint(c.want, out))
		must.StrContains(t, out, c.want)
	}
}

// Guards against a comparison with another object than the routers' configuration, and against failing before the first
// configuration is written.
func TestCheckAgainstStore(t *testing.T) {
	store := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	server := httptest.NewServer(standin.NewStoreServer(store))
	defer server.Close()
	args := []string{example, "-json", "-store", server.Listener.Addr().String()}
	code, out := run(t, args...)
	must.EqOp(t, cli.ExitOK, code)
	must.StrNotContains(t, out, "version_in_force")

	_, inForce := edited(t, `"version":7`, `"version":5`, `:740`, `:370`)
	_, err := store.Client("operator").Put(t.Context(), "config/main", inForce, 0)
	must.NoError(t, err)
	code, out = run(t, args...)
	must.EqOp(t, cli.ExitOK, code, must.Sprint(out))
	var report struct {
		InForce int `json:"version_in_force"`
		Changes []map[string]string
	}
	must.NoError(t, json.Unmarshal([]byte(out), &report))
	must.EqOp(t, 5, report.InForce)
	must.Eq(t, []map[string]string{{"action": "changed", "entry": `service "huvo11a"`, "field": "max_connections", "before": "370", "after": "740"}}, report.Changes)
}
