// Package chart reads state charts from YAML files and runs them.
package chart

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/looplab/fsm"
)

//go:embed charts/*.yaml
var files embed.FS

// Names of the charts.
const (
	Request      = "request"
	Grant        = "grant"
	Lease        = "lease"
	VMWithdrawal = "vm-withdrawal"
)

// Names lists all charts.
var Names = []string{Request, Grant, Lease, VMWithdrawal}

// Errors of charts.
var (
	// ErrInvalid means that a chart is not usable.
	ErrInvalid = errors.New("chart: invalid chart")
	// ErrNotAllowed means that the event is not allowed in the present state.
	ErrNotAllowed = errors.New("chart: event is not allowed in this state")
)

// Chart is a state chart.
type Chart struct {
	Name    string   `yaml:"name"`
	Initial string   `yaml:"initial"`
	Final   []string `yaml:"final"`
	Events  []Event  `yaml:"events"`
}

// Event leads from each of some states to another one.
type Event struct {
	Name string   `yaml:"name"`
	From []string `yaml:"from"`
	To   string   `yaml:"to"`
}

// Load returns one of the charts of this package.
func Load(name string) (Chart, error) {
	data, err := files.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return Chart{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	chart, err := Parse(data)
	if err == nil && chart.Name != name {
		err = fmt.Errorf("%w: file %s holds chart %s", ErrInvalid, name, chart.Name)
	}
	return chart, err
}

// Parse reads a chart and checks that each state can be reached, that each state that is not final leads to a final
// one, and that a final state can't be left.
func Parse(data []byte) (Chart, error) {
	var chart Chart
	if err := yaml.UnmarshalWithOptions(data, &chart, yaml.Strict()); err != nil {
		return Chart{}, fmt.Errorf("%w: %s", ErrInvalid, yaml.FormatError(err, false, false))
	}
	if chart.Name == "" || chart.Initial == "" || len(chart.Final) == 0 {
		return Chart{}, fmt.Errorf("%w: name, initial and final are required", ErrInvalid)
	}
	if err := chart.check(); err != nil {
		return Chart{}, fmt.Errorf("%w: %s: %w", ErrInvalid, chart.Name, err)
	}
	return chart, nil
}

// States returns all states, sorted.
func (c Chart) States() []string {
	states := append([]string{c.Initial}, c.Final...)
	for _, e := range c.Events {
		states = append(append(states, e.From...), e.To)
	}
	slices.Sort(states)
	return slices.Compact(states)
}

func (c Chart) check() error {
	reachable := c.closure([]string{c.Initial}, func(e Event, known map[string]bool) []string {
		if slices.ContainsFunc(e.From, func(s string) bool { return known[s] }) {
			return []string{e.To}
		}
		return nil
	})
	ending := c.closure(c.Final, func(e Event, known map[string]bool) []string {
		if known[e.To] {
			return e.From
		}
		return nil
	})
	for _, state := range c.States() {
		if !reachable[state] {
			return fmt.Errorf("state %s can't be reached", state)
		}
		if !ending[state] {
			return fmt.Errorf("state %s does not lead to a final state", state)
		}
	}
	return c.checkEvents()
}

func (c Chart) checkEvents() error {
	targets := map[[2]string]bool{}
	for _, e := range c.Events {
		for _, from := range e.From {
			if slices.Contains(c.Final, from) {
				return fmt.Errorf("event %s leaves the final state %s", e.Name, from)
			}
			if targets[[2]string{e.Name, from}] {
				return fmt.Errorf("event %s has two targets in state %s", e.Name, from)
			}
			targets[[2]string{e.Name, from}] = true
		}
	}
	return nil
}

// closure grows a set of states by a rule over the events until nothing is added.
func (c Chart) closure(start []string, rule func(Event, map[string]bool) []string) map[string]bool {
	known := map[string]bool{}
	for _, s := range start {
		known[s] = true
	}
	for grown := true; grown; {
		grown = false
		for _, e := range c.Events {
			for _, s := range rule(e, known) {
				grown = grown || !known[s]
				known[s] = true
			}
		}
	}
	return known
}

// Machine is a running chart. It is safe for concurrent use.
type Machine struct {
	chart   Chart
	machine *fsm.FSM
}

// Start returns a machine in the chart's initial state. The function entered is called on each change of the state
// with the new state; it may be nil and must not fire events.
func (c Chart) Start(entered func(state string)) *Machine {
	events := make(fsm.Events, len(c.Events))
	for i, e := range c.Events {
		events[i] = fsm.EventDesc{Name: e.Name, Src: e.From, Dst: e.To}
	}
	callbacks := fsm.Callbacks{}
	if entered != nil {
		callbacks["enter_state"] = func(_ context.Context, e *fsm.Event) { entered(e.Dst) }
	}
	return &Machine{chart: c, machine: fsm.NewFSM(c.Initial, events, callbacks)}
}

// State returns the present state.
func (m *Machine) State() string { return m.machine.Current() }

// Final reports whether the present state is final.
func (m *Machine) Final() bool { return slices.Contains(m.chart.Final, m.State()) }

// Can reports whether the event is allowed in the present state.
func (m *Machine) Can(event string) bool { return m.machine.Can(event) }

// Fire runs an event. The error wraps ErrNotAllowed if it is not allowed in the present state.
func (m *Machine) Fire(event string) error {
	if err := m.machine.Event(context.Background(), event); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNotAllowed, m.chart.Name, err)
	}
	return nil
}
