package scenario_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/load/scenario"
)

const valid = `name: test
duration: 10s
mixes:
  - {name: chats, organisation: velocar, class: briefing, rate: 2, prompt_tokens: {min: 1, max: 2}, output_tokens: {min: 1, max: 2}}
  - {name: rides, organisation: velocar, class: ride, rate: 2, deadline: 6s, service: booking, path: rides, once: true}
faults:
  - {at: 1s, kind: kill, vm: e1}
`

func loadText(t *testing.T, text string) (scenario.Scenario, error) {
	path := filepath.Join(t.TempDir(), "scenario.yaml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return scenario.Load(path)
}

// Guards against a misspelt or invalid field that is ignored, so that the run differs from what the file describes.
func TestErrorsNameTheField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"name: test", "name: ''", "name: is required"},
		{"duration: 10s", "duration: 2h", "duration"},
		{"duration: 10s", "durations: 10s", "durations"},
		{"rate: 2, prompt", "rate: 0, prompt", "mixes[0].rate"},
		{"rate: 2, prompt", "rate: 1e9, prompt", "mixes: "},
		{"prompt_tokens: {min: 1, max: 2}", "prompt_tokens: {min: 3, max: 2}", "mixes[0].prompt_tokens"},
		{"class: briefing", "klass: briefing", "klass"},
		{"path: rides, ", "", "mixes[1].path"},
		{"kind: kill", "kind: shoot", "faults[0].kind"},
		{"vm: e1", "vm: ''", "faults[0].vm"},
		{"at: 1s", "at: 11s", "faults[0].at"},
		{"kind: kill, vm: e1", "kind: platform_lost", "faults[0].probability"},
		{"kind: kill, vm: e1", "kind: top_up, budget: velocar, tokens: 1", "faults[0].budget"},
	} {
		_, err := loadText(t, strings.Replace(valid, c.old, c.new, 1))
		must.ErrorContains(t, err, c.want, must.Sprint(c.new))
	}
}

// Guards against wrong defaults of a mix. They depend on its deadline, if it has one.
func TestDefaults(t *testing.T) {
	s, err := loadText(t, valid)
	must.NoError(t, err)
	must.Eq(t, scenario.DefaultSettle, s.Settle)
	must.Eq(t, scenario.DefaultRetryTimeout, s.Mixes[0].RetryTimeout)
	must.Eq(t, s.Mixes[1].Deadline, s.Mixes[1].RetryTimeout)
	must.Eq(t, s.Mixes[1].Deadline/2, s.Mixes[1].IdleTimeout)
}

// Guards against a change of the format that makes scenario files in the repository invalid.
func TestRepositoryScenariosAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.yaml")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, file := range append(files, "../../../demo/demo.yaml") {
		s, err := scenario.Load(file)
		must.NoError(t, err)
		must.True(t, strings.HasPrefix(filepath.Base(file), s.Name))
	}
}
