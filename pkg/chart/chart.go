// Package chart reads state charts from YAML and runs them as state machines.
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

// Names of the embedded charts.
const (
	Request      = "request"
	Grant        = "grant"
	Lease        = "lease"
	VMWithdrawal = "vm-withdrawal"
)

// Names lists the names of all embedded charts.
var Names = []string{Request, Grant, Lease, VMWithdrawal}

// Errors that this package wraps.
var (
	// ErrInvalid means that a chart can't be read or violates a rule of Parse.
	ErrInvalid = errors.New("chart: invalid chart")
	// ErrNotAllowed means that the event is not allowed in the current state.
	ErrNotAllowed = errors.New("chart: event not allowed in the current state")
)

// Chart is a state chart.
type Chart struct {
	Name    string   `yaml:"name"`
	Initial string   `yaml:"initial"`
	Final   []string `yaml:"final"`
	Events  []Event  `yaml:"events"`
}

// Event is a transition from each of the From states to the state To.
type Event struct {
	Name string   `yaml:"name"`
	From []string `yaml:"from"`
	To   string   `yaml:"to"`
}

// Load parses the embedded chart of the given name. Errors wrap ErrInvalid.
func Load(name string) (Chart, error) {
	data, err := files.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return Chart{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	chart, err := Parse(data)
	if err == nil && chart.Name != name {
		err = fmt.Errorf("%w: file %s contains chart %s", ErrInvalid, name, chart.Name)
	}
	return chart, err
}

// Parse reads a chart from YAML. It checks that every state can be reached, that every state leads to a final one, that
// no event leaves a final state, and that no event has two targets in a state. Errors wrap ErrInvalid.
func Parse(data []byte) (Chart, error) {
	var chart Chart
	if err := yaml.UnmarshalWithOptions(data, &chart, yaml.Strict()); err != nil {
		return Chart{}, fmt.Errorf("%w: %s", ErrInvalid, yaml.FormatError(err, false, false))
	}
	if chart.Name == "" || chart.Initial == "" || len(chart.Final) == 0 {
		return Chart{}, fmt.Errorf("%w: name, initial and final are required", ErrInvalid)
	}
	if err := chart.validate(); err != nil {
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

func (c Chart) validate() error {
	reachable := c.closure([]string{c.Initial}, func(e Event, states map[string]bool) []string {
		if slices.ContainsFunc(e.From, func(s string) bool { return states[s] }) {
			return []string{e.To}
		}
		return nil
	})
	canFinish := c.closure(c.Final, func(e Event, states map[string]bool) []string {
		if states[e.To] {
			return e.From
		}
		return nil
	})
	for _, state := range c.States() {
		if !reachable[state] {
			return fmt.Errorf("state %s can't be reached", state)
		}
		if !canFinish[state] {
			return fmt.Errorf("state %s does not lead to a final state", state)
		}
	}
	return c.validateEvents()
}

func (c Chart) validateEvents() error {
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

// closure extends the set of states start by the states that expand returns for each event, until no state is added.
func (c Chart) closure(start []string, expand func(Event, map[string]bool) []string) map[string]bool {
	states := map[string]bool{}
	for _, s := range start {
		states[s] = true
	}
	for changed := true; changed; {
		changed = false
		for _, e := range c.Events {
			for _, s := range expand(e, states) {
				changed = changed || !states[s]
				states[s] = true
			}
		}
	}
	return states
}

// Machine is a state machine that runs a chart. It is safe for concurrent use.
type Machine struct {
	chart   Chart
	machine *fsm.FSM
}

// Start returns a machine in the chart's initial state. The function onEnter is called with the new state on each state
// change. It may be nil and must not fire events.
func (c Chart) Start(onEnter func(state string)) *Machine {
	events := make(fsm.Events, len(c.Events))
	for i, e := range c.Events {
		events[i] = fsm.EventDesc{Name: e.Name, Src: e.From, Dst: e.To}
	}
	callbacks := fsm.Callbacks{}
	if onEnter != nil {
		callbacks["enter_state"] = func(_ context.Context, e *fsm.Event) { onEnter(e.Dst) }
	}
	return &Machine{chart: c, machine: fsm.NewFSM(c.Initial, events, callbacks)}
}

// State returns the current state.
func (m *Machine) State() string { return m.machine.Current() }

// IsFinal reports whether the current state is final.
func (m *Machine) IsFinal() bool { return slices.Contains(m.chart.Final, m.State()) }

// Can reports whether the event is allowed in the current state.
func (m *Machine) Can(event string) bool { return m.machine.Can(event) }

// Fire applies an event. The error wraps ErrNotAllowed if the event is not allowed in the current state.
func (m *Machine) Fire(event string) error {
	if err := m.machine.Event(context.Background(), event); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNotAllowed, m.chart.Name, err)
	}
	return nil
}
