// Package selector runs the goroutine that owns a router's endpoint table. It chooses endpoints for the relay, logs the
// decisions, and updates the table from the VM list, operators' marks and the endpoints' own reports.
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

// inboxSize is the number of messages that can be sent without waiting while another message is handled.
const inboxSize = 256

// Options configure a Selector.
type Options struct {
	Location route.Location
	Routing  route.Options
	Log      log.Interface
	// IsLeaving reports whether an operator has marked the VM as leaving.
	IsLeaving func(vm string) bool
	// Mark returns the operator's mark on a VM with its deadline. It may be nil.
	Mark func(vm string) (config.VMMark, bool)
	// OnCapacity is called by Run's goroutine with the number of requests that may be in progress in a pool. It may be nil.
	OnCapacity func(pool string, requests int)
	// AddPlacedModels adds the models that placement has loaded to the VM list. It may be nil.
	AddPlacedModels func([]platform.VM) []platform.VM
	// Rand is the source for the choice of random candidates.
	Rand *rand.Rand
}

// Selector chooses endpoints. Its methods are safe for concurrent use and require Run to be running.
type Selector struct {
	Options
	inbox   chan message
	stopped chan struct{}
	// decisions counts decisions by reason. promptTokens and cachedTokens count the tokens of requests for which an endpoint
	// was chosen.
	decisions                  counter.ByLabel
	promptTokens, cachedTokens atomic.Int64
	// bytesPerToken holds the minimum bytes per token of each model. It is computed once for each VM list, because every
	// request needs it.
	bytesPerToken atomic.Pointer[map[string]int]

	// The fields below are used only by the goroutine of Run.
	table      *route.Table
	inFlight   map[uint64]*route.InFlightRequest
	lastTicket uint64
	// platformVMs is the platform's list, vms the same list with the placed models.
	platformVMs []platform.VM
	vms         []platform.VM
	evacuations evacuations
}

// message is a request to the goroutine of Run, which calls handle.
type message interface {
	handle(s *Selector, now time.Time)
}

// New returns a selector with an empty table.
func New(options Options) *Selector {
	return &Selector{
		Options:     options,
		inbox:       make(chan message, inboxSize),
		stopped:     make(chan struct{}),
		table:       route.New(options.Location, options.Routing),
		inFlight:    make(map[uint64]*route.InFlightRequest),
		evacuations: newEvacuations(),
	}
}

// Run handles messages until ctx ends.
func (s *Selector) Run(ctx context.Context) {
	defer close(s.stopped)
	ticker := time.NewTicker(evacuationCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.evacuations.update(now, s.vms, s.deadlineOf)
			s.reportCapacity(now)
		case m := <-s.inbox:
			m.handle(s, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// send sends a message to the goroutine of Run. It returns false if Run has ended.
func (s *Selector) send(m message) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.stopped:
		return false
	}
}

// sendAndReceive sends a message to the goroutine of Run and waits for the reply. ok is false if Run has ended.
func sendAndReceive[T any](s *Selector, m message, reply <-chan T) (result T, ok bool) {
	if !s.send(m) {
		return result, false
	}
	select {
	case result = <-reply:
		return result, true
	case <-s.stopped:
		return result, false
	}
}

type chooseMessage struct {
	request relay.ChooseRequest
	blocks  []uint64
	ends    []int
	reply   chan choice
}

type choice struct {
	target  relay.Target
	failure *outcome.Failure
	// decision is logged by the sender, so that encoding it does not delay the goroutine of Run.
	decision route.Decision
}

// Choose implements relay.Selector.
func (s *Selector) Choose(c relay.ChooseRequest) (relay.Target, *outcome.Failure) {
	m := chooseMessage{request: c, reply: make(chan choice, 1)}
	if c.Model != "" {
		m.blocks, m.ends = route.Blocks(c.Model, c.Prompt)
	}
	result, ok := sendAndReceive(s, m, m.reply)
	if !ok {
		return relay.Target{}, outcome.NotRunf(outcome.ReasonLeaving, time.Second, "this router is stopping")
	}
	s.logDecision(&result.decision)
	return result.target, result.failure
}

func (m chooseMessage) handle(s *Selector, now time.Time) {
	r := s.newRequest(m)
	d := s.table.Choose(now, s.Rand, r)
	s.decisions.Add(string(d.Reason))
	if !d.OK() {
		m.reply <- choice{failure: d.Failure(), decision: d}
		return
	}
	s.promptTokens.Add(int64(r.PromptTokens))
	s.cachedTokens.Add(int64(d.Cached()))
	s.lastTicket++
	s.inFlight[s.lastTicket] = s.table.Begin(now, d)
	target := relay.Target{VM: d.Chosen, Address: d.Address, Ticket: s.lastTicket, Evacuation: s.evacuations.contextFor(d.Chosen)}
	m.reply <- choice{target: target, decision: d}
}

func (s *Selector) newRequest(m chooseMessage) route.Request {
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

type firstTokenMessage struct{ ticket uint64 }

// ReportFirstToken implements relay.Selector.
func (s *Selector) ReportFirstToken(t relay.Target) { s.send(firstTokenMessage{ticket: t.Ticket}) }

func (m firstTokenMessage) handle(s *Selector, now time.Time) {
	if request, ok := s.inFlight[m.ticket]; ok {
		s.table.FirstToken(now, request)
	}
}

type doneMessage struct {
	ticket uint64
	result route.Result
	tokens int
}

// Done implements relay.Selector.
func (s *Selector) Done(t relay.Target, r relay.Report) {
	s.send(doneMessage{ticket: t.Ticket, result: resultOf(r), tokens: r.Tokens})
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

func (m doneMessage) handle(s *Selector, now time.Time) {
	inFlight, ok := s.inFlight[m.ticket]
	if !ok {
		return
	}
	delete(s.inFlight, m.ticket)
	s.table.Done(now, inFlight, m.result, m.tokens)
}

// BytesPerToken implements relay.Selector.
func (s *Selector) BytesPerToken(model string) int {
	if byModel := s.bytesPerToken.Load(); byModel != nil {
		return max(1, (*byModel)[model])
	}
	return 1
}

// minBytesPerToken returns the minimum over each model's endpoints, because a request may be sent to any of them.
func minBytesPerToken(vms []platform.VM) map[string]int {
	minimum := map[string]int{}
	for i := range vms {
		n := max(1, vms[i].BytesPerToken)
		for _, model := range vms[i].Models {
			if current, ok := minimum[model]; !ok || n < current {
				minimum[model] = n
			}
		}
	}
	return minimum
}

type updateVMsMessage struct{ vms []platform.VM }

// UpdateVMs passes the platform's VM list to the table.
func (s *Selector) UpdateVMs(vms []platform.VM) { s.send(updateVMsMessage{vms: vms}) }

func (m updateVMsMessage) handle(s *Selector, now time.Time) {
	s.platformVMs = m.vms
	s.refresh(now)
}

// refresh updates the table after a change of the VM list, the marks or the placements.
func (s *Selector) refresh(now time.Time) {
	s.vms = s.platformVMs
	if s.AddPlacedModels != nil {
		s.vms = s.AddPlacedModels(s.platformVMs)
	}
	bytesPerToken := minBytesPerToken(s.vms)
	s.bytesPerToken.Store(&bytesPerToken)
	s.table.Update(now, s.vms, s.IsLeaving)
	s.evacuations.update(now, s.vms, s.deadlineOf)
	s.reportCapacity(now)
}

// defaultInFlight is the number of requests that one endpoint processes concurrently if the VM list does not state it.
const defaultInFlight = 64

// reportCapacity calls OnCapacity with the number of requests that this router may have in progress in each pool.
func (s *Selector) reportCapacity(now time.Time) {
	if s.OnCapacity == nil {
		return
	}
	for _, pool := range poolsOf(s.vms) {
		s.OnCapacity(string(pool), s.table.Slots(now, pool, defaultInFlight))
	}
}

// poolsOf returns the pools of all endpoints in vms, including those that are leaving.
func poolsOf(vms []platform.VM) []route.Pool {
	added := map[route.Pool]bool{}
	var pools []route.Pool
	add := func(p route.Pool) {
		if !added[p] {
			added[p] = true
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

type reapplyMarksMessage struct{}

// ReapplyMarks applies operators' marks again after a change of configuration.
func (s *Selector) ReapplyMarks() { s.send(reapplyMarksMessage{}) }

func (reapplyMarksMessage) handle(s *Selector, now time.Time) { s.refresh(now) }
