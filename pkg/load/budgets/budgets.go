// Package budgets joins the log lines of a fleet's routers into the state of each prepaid budget over time: what was drawn, spent,
// held and lost, which routers held it and which had to refuse requests.
package budgets

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/lavendershunt/lavendershunt/pkg/load/routerlog"
)

// Reasons of refusals that a budget causes, as logged by pkg/forward.
const (
	reasonExhausted   = "budget_exhausted"
	reasonUnavailable = "grant_not_obtainable_now"
)

// State is the state of one organisation's budget. Token counts are as the routers logged them.
type State struct {
	Organisation string
	// Prepaid is the operator's total, and Drawn what has left the store, both by the newest line.
	Prepaid, Drawn int64
	// Spent was charged to requests. Reserved and Free are held by running routers; Lost was held by routers that ended.
	Spent, Reserved, Free, Lost int64
	// Exhausted and Unavailable count the requests that were refused with 402 and 503 in the interval, and AskedTokens is the sum of
	// what they asked for.
	Exhausted, Unavailable int
	AskedTokens            int64
	// FreeAt is Free by router, and RefusedAt the refused requests by router.
	FreeAt    map[string]int64
	RefusedAt map[string]int
}

// event is one line of the log.
type event struct {
	at      float64
	vm      string
	message string
	fields  fields
}

type fields struct {
	Organisation string  `json:"organisation"`
	Prepaid      int64   `json:"prepaid"`
	Drawn        *int64  `json:"drawn"`
	Held         *int64  `json:"held"`
	Charged      int64   `json:"charged"`
	Tokens       int64   `json:"tokens"`
	Spent        *int64  `json:"spent"`
	Reason       string  `json:"reason"`
	TotalMS      float64 `json:"total_ms"`
}

// read returns the events of a log, ordered by time. A line whose fields have other types is none.
func read(r io.Reader) ([]event, error) {
	var events []event
	err := routerlog.Read(r, func(l routerlog.Line) error {
		var f fields
		if json.Unmarshal(l.Fields, &f) == nil {
			events = append(events, event{at: l.At, vm: l.Router, message: l.Message, fields: f})
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("budgets: %w", err)
	}
	slices.SortStableFunc(events, func(a, b event) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	return events, nil
}

// holding is what one run of a router has of a budget.
type holding struct {
	held, charged, reserved int64
}

// budget is the state of one organisation while the events are replayed.
type budget struct {
	State
	// spentBefore is what runs that have ended were charged.
	spentBefore int64
	holdings    map[string]*holding
}

func (b *budget) holding(vm string) *holding {
	h := b.holdings[vm]
	if h == nil {
		h = &holding{}
		b.holdings[vm] = h
	}
	return h
}

// replay is the state of all budgets while the events are replayed.
type replay struct {
	budgets map[string]*budget
}

func (r *replay) budget(organisation string) *budget {
	b := r.budgets[organisation]
	if b == nil {
		b = &budget{State: State{Organisation: organisation}, holdings: map[string]*holding{}}
		b.clearInterval()
		r.budgets[organisation] = b
	}
	return b
}

func (b *budget) clearInterval() {
	b.Exhausted, b.Unavailable, b.AskedTokens, b.RefusedAt = 0, 0, 0, map[string]int{}
}

// apply adds an event.
func (r *replay) apply(e event) {
	f := e.fields
	if e.message == "start" {
		r.endRun(e.vm)
		return
	}
	if f.Organisation == "" {
		return
	}
	b := r.budget(f.Organisation)
	b.Prepaid = max(b.Prepaid, f.Prepaid)
	switch {
	case e.message == messageReserved:
		b.holding(e.vm).reserved += f.Tokens
	case f.Held != nil:
		h := b.holding(e.vm)
		h.held, h.charged = *f.Held, f.Charged
		if e.message == "allowance_drawn" && f.Drawn != nil {
			b.Drawn = *f.Drawn
		}
	case f.Reason == reasonExhausted || f.Reason == reasonUnavailable:
		if f.Reason == reasonExhausted {
			b.Exhausted++
		} else {
			b.Unavailable++
		}
		b.AskedTokens += f.Tokens
		b.RefusedAt[e.vm]++
	case f.Spent != nil && f.Tokens > 0:
		h := b.holding(e.vm)
		h.reserved -= f.Tokens
		h.held -= *f.Spent
		h.charged += *f.Spent
	}
}

// endRun records that a router has started, so that its earlier run has ended.
func (r *replay) endRun(vm string) {
	for _, b := range r.budgets {
		if h := b.holdings[vm]; h != nil {
			b.Lost += h.held
			b.spentBefore += h.charged
			delete(b.holdings, vm)
		}
	}
}

// snapshot returns the state of a budget.
func (b *budget) snapshot() State {
	s := b.State
	s.Spent, s.FreeAt = b.spentBefore, map[string]int64{}
	for vm, h := range b.holdings {
		s.Spent += h.charged
		s.Reserved += h.reserved
		s.Free += h.held - h.reserved
		if h.held != h.reserved {
			s.FreeAt[vm] = h.held - h.reserved
		}
	}
	return s
}

// messageReserved is the message of an event that stands for the reservation of a request. The log has a line for the end of a request
// only, which says how long it lasted.
const messageReserved = "reserved"

// withReservations adds an event for the reservation of each request. Requests in progress at the end of a run have no line, so their
// tokens count as free.
func withReservations(events []event) []event {
	var reservations []event
	for _, e := range events {
		f := e.fields
		if f.Spent == nil || f.Tokens <= 0 || f.Reason == reasonExhausted || f.Reason == reasonUnavailable {
			continue
		}
		reservations = append(reservations, event{at: e.at - f.TotalMS/1000, vm: e.vm, message: messageReserved, fields: fields{Organisation: f.Organisation, Tokens: f.Tokens}})
	}
	all := slices.Concat(events, reservations)
	slices.SortStableFunc(all, func(a, b event) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	return all
}

// Interval is the state of all budgets at the end of an interval of the log.
type Interval struct {
	// From and To are in seconds of the log.
	From, To float64
	Budgets  []State
}

// Intervals reads a log and returns the state of all budgets at the end of each interval of the given seconds, ordered by time and
// organisation.
func Intervals(log io.Reader, seconds float64) ([]Interval, error) {
	events, err := read(log)
	if err != nil || len(events) == 0 {
		return nil, err
	}
	r := &replay{budgets: map[string]*budget{}}
	var intervals []Interval
	end := seconds
	closeInterval := func() {
		interval := Interval{From: end - seconds, To: end}
		for _, b := range r.budgets {
			interval.Budgets = append(interval.Budgets, b.snapshot())
			b.clearInterval()
		}
		slices.SortFunc(interval.Budgets, func(a, b State) int { return strings.Compare(a.Organisation, b.Organisation) })
		intervals = append(intervals, interval)
		end += seconds
	}
	for _, e := range withReservations(events) {
		for e.at >= end {
			closeInterval()
		}
		r.apply(e)
	}
	closeInterval()
	return intervals, nil
}
