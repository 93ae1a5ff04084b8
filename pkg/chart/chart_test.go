package chart

import (
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against embedded charts with states that can't be reached or left, and against a machine whose transitions
// differ from its chart.
func TestCharts(t *testing.T) {
	for _, name := range Names {
		chart, err := Load(name)
		must.NoError(t, err)
		visited := map[string]bool{}
		visitStates(t, chart, nil, visited)
		must.MapLen(t, len(chart.States()), visited, must.Sprint(name))
	}
}

// visitStates fires every event in every state that the machine can reach. path holds the events that lead to the
// current state.
func visitStates(t *testing.T, chart Chart, path []string, visited map[string]bool) {
	replay := func() *Machine {
		m := chart.Start(nil)
		for _, event := range path {
			must.NoError(t, m.Fire(event))
		}
		return m
	}
	state := replay().State()
	if visited[state] {
		return
	}
	visited[state] = true
	hasExit := false
	for _, e := range chart.Events {
		m := replay()
		allowed := slices.Contains(e.From, state)
		must.Eq(t, allowed, m.Can(e.Name))
		if err := m.Fire(e.Name); !allowed {
			must.ErrorIs(t, err, ErrNotAllowed)
			continue
		}
		hasExit = true
		must.Eq(t, e.To, m.State())
		visitStates(t, chart, append(slices.Clone(path), e.Name), visited)
	}
	must.Eq(t, !hasExit, replay().IsFinal())
}

// Guards against Parse accepting an invalid chart.
func TestParseRejectsInvalidCharts(t *testing.T) {
	const valid = "name: x\ninitial: a\nfinal: [c]\nevents:\n- {name: e, from: [a], to: b}\n- {name: f, from: [b], to: c}\n"
	_, err := Parse([]byte(valid))
	must.NoError(t, err)
	for _, c := range [][3]string{
		{"from: [a], to: b", "from: [a], to: b, when: now", "unknown field"},
		{"final: [c]\n", "", "required"},
		{"- {name: f, from: [b], to: c}", "- {name: f, from: [a], to: c}", "state b does not lead to a final state"},
		{"from: [b], to: c", "from: [b, d], to: c", "state d can't be reached"},
		{"from: [b], to: c", "from: [b, c], to: c", "leaves the final state c"},
		{"name: f, from: [b]", "name: e, from: [a, b]", "two targets in state a"},
	} {
		_, err := Parse([]byte(strings.Replace(valid, c[0], c[1], 1)))
		must.ErrorIs(t, err, ErrInvalid)
		must.StrContains(t, err.Error(), c[2])
	}
}
