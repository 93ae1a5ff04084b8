package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

const (
	seed     = 20261204
	capacity = 8
	service  = time.Second
	deadline = 3 * time.Second
	tick     = 10 * time.Millisecond
)

var start = time.Unix(1_800_000_000, 0)

// source is an organisation that sends requests of one target at a constant mean rate.
type source struct {
	organisation string
	target       config.TargetKind
	rate         float64 // requests/s
	limit        int

	sent, met, done int
	refused         map[outcome.Reason]int
	longest         time.Duration
}

type job struct {
	from    *source
	arrived time.Time
	ends    time.Time
}

// run offers the sources' requests to a StateMachine in front of endpoints that serve `capacity` requests at once for
// `service` each, in virtual time.
func run(o Options, length time.Duration, sources ...*source) *StateMachine {
	rng := rand.New(rand.NewPCG(seed, 1))
	machine := NewStateMachine(o)
	machine.SetCapacity(start, "p", capacity)
	jobs := map[ID]*job{}
	var running []ID
	settle := func(now time.Time) {
		for _, v := range machine.Take() {
			j := jobs[v.ID]
			if v.Failure != nil {
				j.from.refused[v.Failure.Reason]++
				delete(jobs, v.ID)
				continue
			}
			j.ends = now.Add(service)
			running = append(running, v.ID)
		}
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		for i := 0; i < len(running); i++ {
			j := jobs[running[i]]
			if j.ends.After(now) {
				continue
			}
			took := now.Sub(j.arrived)
			j.from.done++
			j.from.longest = max(j.from.longest, took)
			if took <= deadline {
				j.from.met++
			}
			machine.Done(now, running[i], Usage{FirstToken: service / 2, Total: service, OutputTokens: 50})
			running = append(running[:i], running[i+1:]...)
			i--
		}
		settle(now)
		for _, s := range sources {
			if s.refused == nil {
				s.refused = map[outcome.Reason]int{}
			}
			if rng.Float64() > s.rate*tick.Seconds() {
				continue
			}
			s.sent++
			id := machine.Offer(now, Request{
				Organisation: s.organisation, Class: string(s.target), Pool: "p", Target: s.target,
				Deadline: now.Add(deadline), Tokens: 100, MaxOutputTokens: 200, OrganisationLimit: s.limit,
			})
			jobs[id] = &job{from: s, arrived: now}
			settle(now)
		}
		machine.Expire(now)
		settle(now)
	}
	return machine
}

// Guards against collapse under overload: at 130% the pool must spend its time on replies that meet their
// deadline, and late requests must be refused instead of run.
func TestDeadlineGoodputUnderOverload(t *testing.T) {
	s := &source{organisation: "a", target: config.TargetDeadline, rate: 1.3 * capacity}
	const length = 100 * time.Second
	machine := run(Options{}, length, s)
	possible := capacity * length.Seconds() / service.Seconds()
	t.Logf("sent %d met %d late %d refused %v", s.sent, s.met, s.done-s.met, s.refused)
	must.Greater(t, 0.95*possible, float64(s.met))
	must.Less(t, 0.02*possible, float64(s.done-s.met))
	must.Eq(t, s.sent, s.done+s.refused[outcome.ReasonDeadline]+len(machine.entries))
}

// Guards against refusals without need: at 70% load no request is refused.
func TestNothingRefusedBelowCapacity(t *testing.T) {
	s := &source{organisation: "a", target: config.TargetDeadline, rate: 0.7 * capacity}
	run(Options{}, 100*time.Second, s)
	must.MapEmpty(t, s.refused)
}

// Guards against one organisation that floods a class and pushes out another one.
func TestFloodDoesNotPushOutOthers(t *testing.T) {
	for _, target := range []config.TargetKind{config.TargetDeadline, config.TargetWhole} {
		flood := &source{organisation: "flood", target: target, rate: 90}
		other := &source{organisation: "other", target: target, rate: 0.3 * capacity}
		run(Options{MaxQueued: 64, MaxQueuedPerOrganisation: 64}, 60*time.Second, flood, other)
		t.Logf("%s: flood %d/%d, other %d/%d refused %v, longest %s", target, flood.done, flood.sent, other.done, other.sent, other.refused, other.longest)
		must.Greater(t, 0.9*float64(other.sent), float64(other.met))
		must.Greater(t, 0.5*capacity*60, float64(flood.done))
	}
}

// Guards against whole work that delays deadline work, and against deadline work that starves whole work.
func TestWholeYieldsButIsNotStarved(t *testing.T) {
	urgent := &source{organisation: "a", target: config.TargetDeadline, rate: 1.3 * capacity}
	patient := &source{organisation: "a", target: config.TargetWhole, rate: 1.3 * capacity}
	run(Options{}, 100*time.Second, urgent, patient)
	total := float64(urgent.done + patient.done)
	t.Logf("deadline %d, whole %d", urgent.done, patient.done)
	must.Between(t, 0.08, float64(patient.done)/total, 0.13)
	must.Greater(t, 0.95*float64(urgent.done), float64(urgent.met))
}

// Guards against queues without bound.
func TestQueueIsBounded(t *testing.T) {
	machine := NewStateMachine(Options{MaxQueued: 20, MaxQueuedPerOrganisation: 15})
	machine.SetCapacity(start, "p", 1)
	refused := map[outcome.Reason]int{}
	for i := range 1000 {
		machine.Offer(start, Request{Organisation: fmt.Sprintf("o%d", i%5), Class: "c", Pool: "p", Target: config.TargetWhole})
		must.LessEq(t, 20, machine.pools["p"].queued)
		for _, v := range machine.Take() {
			if v.Failure != nil {
				must.Eq(t, outcome.NotRun, v.Failure.Outcome)
				must.Positive(t, v.Failure.RetryAfter)
				refused[v.Failure.Reason]++
			}
		}
	}
	must.Eq(t, map[outcome.Reason]int{outcome.ReasonOverload: 979}, refused)
}

// Guards against an organisation that exceeds its limit, and against places that are lost or given twice.
func TestLimitsAndPlaces(t *testing.T) {
	s := &source{organisation: "a", target: config.TargetWhole, rate: 50, limit: 5}
	machine := run(Options{}, 10*time.Second, s)
	must.Eq(t, 5, machine.inOrg["a"])
	must.Positive(t, s.refused[outcome.ReasonOrgLimit])
	for id := range machine.lastID {
		machine.Requeue(id + 1)
		machine.Cancel(start, id+1)
		machine.Cancel(start, id+1)
	}
	must.MapEmpty(t, machine.inOrg)
	must.Zero(t, machine.pools["p"].inflight+machine.pools["p"].queued)
	must.Zero(t, machine.pools["p"].whole.tokens)
}

// Guards against retries that multiply an overload.
func TestRetryBudget(t *testing.T) {
	machine := NewStateMachine(Options{})
	allowed := 0
	for range 1000 {
		machine.Offer(start, Request{Pool: "p"})
		for range 3 {
			if machine.AllowRetry() {
				allowed++
			}
		}
	}
	must.Between(t, 100, allowed, 110)
}

// Guards against an estimate that is too high once and then refuses everything for ever.
func TestEstimateRecovers(t *testing.T) {
	machine := NewStateMachine(Options{})
	machine.SetCapacity(start, "p", 1)
	granted := 0
	offer := func(now time.Time) {
		id := machine.Offer(now, Request{Class: "c", Pool: "p", Target: config.TargetDeadline, Deadline: now.Add(time.Second)})
		if machine.Take()[0].Failure == nil {
			granted++
			total := 100 * time.Millisecond
			if granted == 1 {
				total = 20 * time.Second
			}
			machine.Done(now, id, Usage{FirstToken: total, Total: total, OutputTokens: 1})
		}
	}
	for i := range 600 {
		offer(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	must.Greater(t, 250, granted)
}
