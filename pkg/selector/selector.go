// Package selector is the task that owns a router's endpoint table. It chooses endpoints for the relay, writes
// the decision log, and feeds the table with the VM list, operators' marks and the endpoints' own reports.
package selector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/counter"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/relay"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

// inboxSize lets senders go on while the task is busy with one message of another.
const inboxSize = 256

// Options configure a Selector.
type Options struct {
	Location route.Location
	Routing  route.Options
	Log      log.Interface
	// Leaving reports operators' marks on VMs.
	Leaving func(vm string) bool
	// Mark returns an operator's mark with its deadline; it may be nil.
	Mark func(vm string) (config.VMMark, bool)
	// OnCapacity is called by the task with the number of requests that may be in progress in a pool. It may be nil.
	OnCapacity func(pool string, requests int)
	// Placed adds the models that placement loaded to the VM list. It may be nil.
	Placed func([]platform.VM) []platform.VM
	// Rand draws the random candidates.
	Rand *rand.Rand
}

// Selector is the routing task. Its methods are safe for concurrent use and need Run to be running.
type Selector struct {
	Options
	inbox   chan message
	stopped chan struct{}
	// decisions counts decisions by reason; promptTokens and cachedTokens belong to those that chose an engine.
	decisions                  counter.ByLabel
	promptTokens, cachedTokens atomic.Int64
	// bytesPerToken holds the least bytes per token of each model. It is worked out once for each list, because every
	// request asks for it.
	bytesPerToken atomic.Pointer[map[string]int]

	// The fields below are owned by the task.
	table    *route.Table
	inFlight map[uint64]*route.InFlightRequest
	ticket   uint64
	// listed is the platform's list, vms the same with the placed models.
	listed []platform.VM
	vms    []platform.VM
	moves  evacuations
}

// message is a request to the task; handle runs in the task.
type message interface {
	handle(s *Selector, now time.Time)
}

// New returns a selector with an empty table.
func New(options Options) *Selector {
	return &Selector{
		Options:  options,
		inbox:    make(chan message, inboxSize),
		stopped:  make(chan struct{}),
		table:    route.New(options.Location, options.Routing),
		inFlight: make(map[uint64]*route.InFlightRequest),
		moves:    newEvacuations(),
	}
}

// Run handles messages until ctx ends.
func (s *Selector) Run(ctx context.Context) {
	defer close(s.stopped)
	ticker := time.NewTicker(evacuationCheck)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.moves.update(now, s.vms, s.deadlineOf)
			s.reportCapacity(now)
		case m := <-s.inbox:
			m.handle(s, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// send passes a message to the task and reports whether the task still runs.
func (s *Selector) send(m message) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.stopped:
		return false
	}
}

// ask passes a message to the task and waits for its reply. ok is false if the task has ended.
func ask[T any](s *Selector, m message, reply <-chan T) (answer T, ok bool) {
	if !s.send(m) {
		return answer, false
	}
	select {
	case answer = <-reply:
		return answer, true
	case <-s.stopped:
		return answer, false
	}
}

type choose struct {
	request relay.ChooseRequest
	blocks  []uint64
	ends    []int
	reply   chan chosen
}

type chosen struct {
	target  relay.Target
	failure *outcome.Failure
	// decision is logged by the sender, so that encoding it does not hold up the task.
	decision route.Decision
}

// Choose implements relay.Selector.
func (s *Selector) Choose(c relay.ChooseRequest) (relay.Target, *outcome.Failure) {
	m := choose{request: c, reply: make(chan chosen, 1)}
	if c.Model != "" {
		m.blocks, m.ends = route.Blocks(c.Model, c.Prompt)
	}
	answer, ok := ask(s, m, m.reply)
	if !ok {
		return relay.Target{}, outcome.NotRunf(outcome.ReasonLeaving, time.Second, "this router is stopping")
	}
	s.logDecision(&answer.decision)
	return answer.target, answer.failure
}

func (m choose) handle(s *Selector, now time.Time) {
	r := s.request(m)
	d := s.table.Choose(now, s.Rand, r)
	s.decisions.Add(string(d.Reason))
	if !d.OK() {
		m.reply <- chosen{failure: d.Failure(), decision: d}
		return
	}
	s.promptTokens.Add(int64(r.PromptTokens))
	s.cachedTokens.Add(int64(d.Cached()))
	s.ticket++
	s.inFlight[s.ticket] = s.table.Begin(now, d)
	target := relay.Target{VM: d.Chosen, Address: d.Address, Ticket: s.ticket, Evacuate: s.moves.context(d.Chosen)}
	m.reply <- chosen{target: target, decision: d}
}

func (s *Selector) request(m choose) route.Request {
	c := m.request
	r := route.Request{
		ID: c.RequestID, Organisation: c.Organisation, Class: c.Class.Name, Pool: route.Service(c.Service),
		OutputTokens: c.OutputTokens, Exclude: c.Exclude, Suspect: c.Suspect,
	}
	if c.Model != "" {
		r.Pool, r.Blocks, r.BlockEnds = route.Model(c.Model), m.blocks, m.ends
		r.PromptTokens = relay.PromptBound(len(c.Prompt), 1, s.BytesPerToken(c.Model))
	}
	return r
}

func (s *Selector) logDecision(d *route.Decision) {
	considered := make([]string, len(d.Considered))
	for i, c := range d.Considered {
		considered[i] = fmt.Sprintf("%s=%.1f", c.VM, c.Score)
	}
	s.Log.WithFields(log.Fields{
		"request_id": d.RequestID, "organisation": d.Organisation, "class": d.Class, "pool": string(d.Pool),
		"candidates": d.Candidates, "considered": considered, "endpoint": d.Chosen, "reason": string(d.Reason),
	}).Info("routing decision")
}

type firstToken struct{ ticket uint64 }

// FirstToken implements relay.Selector.
func (s *Selector) FirstToken(t relay.Target) { s.send(firstToken{ticket: t.Ticket}) }

func (m firstToken) handle(s *Selector, now time.Time) {
	if request, ok := s.inFlight[m.ticket]; ok {
		s.table.FirstToken(now, request)
	}
}

type done struct {
	ticket uint64
	result route.Result
	tokens int
}

// Done implements relay.Selector.
func (s *Selector) Done(t relay.Target, r relay.Report) {
	s.send(done{ticket: t.Ticket, result: resultOf(r), tokens: r.Tokens})
}

func resultOf(r relay.Report) route.Result {
	switch {
	case r.Cancelled:
		return route.Cancelled
	case r.Failed:
		return route.Failed
	default:
		return route.Succeeded
	}
}

func (m done) handle(s *Selector, now time.Time) {
	flight, ok := s.inFlight[m.ticket]
	if !ok {
		return
	}
	delete(s.inFlight, m.ticket)
	s.table.Done(now, flight, m.result, m.tokens)
}

// BytesPerToken implements relay.Selector.
func (s *Selector) BytesPerToken(model string) int {
	if known := s.bytesPerToken.Load(); known != nil {
		return max(1, (*known)[model])
	}
	return 1
}

// leastBytesPerToken returns the least value over each model's endpoints, because a request may be sent to any.
func leastBytesPerToken(vms []platform.VM) map[string]int {
	least := map[string]int{}
	for i := range vms {
		n := max(1, vms[i].BytesPerToken)
		for _, model := range vms[i].Models {
			if known, ok := least[model]; !ok || n < known {
				least[model] = n
			}
		}
	}
	return least
}

type updateVMs struct{ vms []platform.VM }

// UpdateVMs passes the platform's VM list to the table.
func (s *Selector) UpdateVMs(vms []platform.VM) { s.send(updateVMs{vms: vms}) }

func (m updateVMs) handle(s *Selector, now time.Time) {
	s.listed = m.vms
	s.refresh(now)
}

// refresh brings the table up to date after a change of the VM list, the marks or the placements.
func (s *Selector) refresh(now time.Time) {
	s.vms = s.listed
	if s.Placed != nil {
		s.vms = s.Placed(s.listed)
	}
	least := leastBytesPerToken(s.vms)
	s.bytesPerToken.Store(&least)
	s.table.Update(now, s.vms, s.Leaving)
	s.moves.update(now, s.vms, s.deadlineOf)
	s.reportCapacity(now)
}

// defaultInFlight is the number of requests that one endpoint takes at once if the VM list names none.
const defaultInFlight = 64

// reportCapacity tells how many requests this router may have in progress in each pool.
func (s *Selector) reportCapacity(now time.Time) {
	if s.OnCapacity == nil {
		return
	}
	for _, pool := range poolsOf(s.vms) {
		s.OnCapacity(string(pool), s.table.Slots(now, pool, defaultInFlight))
	}
}

// poolsOf returns the pools of all listed endpoints, also of those that are leaving.
func poolsOf(vms []platform.VM) []route.Pool {
	seen := map[route.Pool]bool{}
	var pools []route.Pool
	add := func(p route.Pool) {
		if !seen[p] {
			seen[p] = true
			pools = append(pools, p)
		}
	}
	for i := range vms {
		for _, model := range vms[i].Models {
			add(route.Model(model))
		}
		if vms[i].Role == platform.RoleService {
			add(route.Service(vms[i].Service))
		}
	}
	return pools
}

type marksChanged struct{}

// MarksChanged applies operators' marks again after a change of configuration.
func (s *Selector) MarksChanged() { s.send(marksChanged{}) }

func (marksChanged) handle(s *Selector, now time.Time) { s.refresh(now) }
