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
	seed        = 20261204
	capacity    = 8
	serviceTime = time.Second
	deadline    = 3 * time.Second
	step        = 10 * time.Millisecond
)

var start = time.Unix(1_800_000_000, 0)

// source is an organisation that sends requests of one target kind at a constant mean rate.
type source struct {
	organisation string
	target       config.TargetKind
	rate         float64 // requests/s
	limit        int

	sent, met, done int // met counts the replies within the deadline
	refused         map[outcome.Reason]int
	maxLatency      time.Duration
}

type job struct {
	source  *source
	arrived time.Time
	ends    time.Time
}

// simulate offers the sources' requests to a StateMachine in front of endpoints that serve `capacity` requests at a
// time in `serviceTime` each, in virtual time.
func simulate(o Options, duration time.Duration, sources ...*source) *StateMachine {
	rng := rand.New(rand.NewPCG(seed, 1))
	machine := NewStateMachine(o)
	machine.SetCapacity(start, "p", capacity)
	jobs := map[ID]*job{}
	var running []ID
	handleVerdicts := func(now time.Time) {
		for _, v := range machine.TakeVerdicts() {
			j := jobs[v.ID]
			if v.Failure != nil {
				j.source.refused[v.Failure.Reason]++
				delete(jobs, v.ID)
				continue
			}
			j.ends = now.Add(serviceTime)
			running = append(running, v.ID)
		}
	}
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		for i := 0; i < len(running); i++ {
			j := jobs[running[i]]
			if j.ends.After(now) {
				continue
			}
			latency := now.Sub(j.arrived)
			j.source.done++
			j.source.maxLatency = max(j.source.maxLatency, latency)
			if latency <= deadline {
				j.source.met++
			}
			machine.Done(now, running[i], Usage{FirstToken: serviceTime / 2, Total: serviceTime, OutputTokens: 50})
			running = append(running[:i], running[i+1:]...)
			i--
		}
		handleVerdicts(now)
		for _, s := range sources {
			if s.refused == nil {
				s.refused = map[outcome.Reason]int{}
			}
			if rng.Float64() > s.rate*step.Seconds() {
				continue
			}
			s.sent++
			id := machine.Offer(now, Request{
				Organisation: s.organisation, Class: string(s.target), Pool: "p", Target: s.target,
				Deadline: now.Add(deadline), Tokens: 100, MaxOutputTokens: 200, OrganisationLimit: s.limit,
			})
			jobs[id] = &job{source: s, arrived: now}
			handleVerdicts(now)
		}
		machine.Expire(now)
		handleVerdicts(now)
	}
	return machine
}

// Guards against congestion collapse: at 130% load the pool must spend its time on replies that meet their deadline,
// and requests that would be late must be refused instead of run.
func TestDeadlineGoodputUnderOverload(t *testing.T) {
	s := &source{organisation: "a", target: config.TargetDeadline, rate: 1.3 * capacity}
	const duration = 100 * time.Second
	machine := simulate(Options{}, duration, s)
	possible := capacity * duration.Seconds() / serviceTime.Seconds()
	t.Logf("sent %d met %d late %d refused %v", s.sent, s.met, s.done-s.met, s.refused)
	must.Greater(t, 0.95*possible, float64(s.met))
	must.Less(t, 0.02*possible, float64(s.done-s.met))
	must.Eq(t, s.sent, s.done+s.refused[outcome.ReasonDeadline]+len(machine.entries))
}

// Guards against unnecessary refusals: at 70% load no request may be refused.
func TestNothingRefusedBelowCapacity(t *testing.T) {
	s := &source{organisation: "a", target: config.TargetDeadline, rate: 0.7 * capacity}
	simulate(Options{}, 100*time.Second, s)
	must.MapEmpty(t, s.refused)
}

// Guards against one organisation that floods a class and displaces the requests of another one.
func TestFloodDoesNotDisplaceOthers(t *testing.T) {
	for _, target := range []config.TargetKind{config.TargetDeadline, config.TargetWhole} {
		flood := &source{organisation: "flood", target: target, rate: 90}
		other := &source{organisation: "other", target: target, rate: 0.3 * capacity}
		simulate(Options{MaxQueued: 64, MaxQueuedPerOrganisation: 64}, 60*time.Second, flood, other)
		t.Logf("%s: flood %d/%d, other %d/%d refused %v, longest %s", target, flood.done, flood.sent, other.done, other.sent, other.refused, other.maxLatency)
		must.Greater(t, 0.9*float64(other.sent), float64(other.met))
		must.Greater(t, 0.5*capacity*60, float64(flood.done))
	}
}

// Guards against whole requests that delay deadline requests beyond WholeShare, and against deadline requests that
// starve whole requests.
func TestWholeIsDelayedButNotStarved(t *testing.T) {
	deadlineSource := &source{organisation: "a", target: config.TargetDeadline, rate: 1.3 * capacity}
	wholeSource := &source{organisation: "a", target: config.TargetWhole, rate: 1.3 * capacity}
	simulate(Options{}, 100*time.Second, deadlineSource, wholeSource)
	total := float64(deadlineSource.done + wholeSource.done)
	t.Logf("deadline %d, whole %d", deadlineSource.done, wholeSource.done)
	must.Between(t, 0.08, float64(wholeSource.done)/total, 0.13)
	must.Greater(t, 0.95*float64(deadlineSource.done), float64(deadlineSource.met))
}

// Guards against queues that grow without bound.
func TestQueueIsBounded(t *testing.T) {
	machine := NewStateMachine(Options{MaxQueued: 20, MaxQueuedPerOrganisation: 15})
	machine.SetCapacity(start, "p", 1)
	refused := map[outcome.Reason]int{}
	for i := range 1000 {
		machine.Offer(start, Request{Organisation: fmt.Sprintf("o%d", i%5), Class: "c", Pool: "p", Target: config.TargetWhole})
		must.LessEq(t, 20, machine.pools["p"].queued)
		for _, v := range machine.TakeVerdicts() {
			if v.Failure != nil {
				must.Eq(t, outcome.NotRun, v.Failure.Outcome)
				must.Positive(t, v.Failure.RetryAfter)
				refused[v.Failure.Reason]++
			}
		}
	}
	must.Eq(t, map[outcome.Reason]int{outcome.ReasonOverload: 979}, refused)
}

// Guards against an organisation that exceeds its limit, and against slots that are never released or released twice
// when requests are requeued and then cancelled twice.
func TestLimitsAndSlots(t *testing.T) {
	s := &source{organisation: "a", target: config.TargetWhole, rate: 50, limit: 5}
	machine := simulate(Options{}, 10*time.Second, s)
	must.Eq(t, 5, machine.inProgress["a"])
	must.Positive(t, s.refused[outcome.ReasonOrgLimit])
	for id := range machine.lastID {
		machine.Requeue(id + 1)
		machine.Cancel(start, id+1)
		machine.Cancel(start, id+1)
	}
	must.MapEmpty(t, machine.inProgress)
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

// Guards against refusing all requests for ever after one very slow request has raised the estimate above the deadline.
func TestEstimateRecovers(t *testing.T) {
	machine := NewStateMachine(Options{})
	machine.SetCapacity(start, "p", 1)
	admitted := 0
	offer := func(now time.Time) {
		id := machine.Offer(now, Request{Class: "c", Pool: "p", Target: config.TargetDeadline, Deadline: now.Add(time.Second)})
		if machine.TakeVerdicts()[0].Failure == nil {
			admitted++
			total := 100 * time.Millisecond
			if admitted == 1 {
				total = 20 * time.Second
			}
			machine.Done(now, id, Usage{FirstToken: total, Total: total, OutputTokens: 1})
		}
	}
	for i := range 600 {
		offer(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	must.Greater(t, 250, admitted)
}
