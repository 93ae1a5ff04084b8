package route

import (
	"math"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// ColdLimits bound what a cold endpoint gets from all routers together. It answers engines that have just started, one or a whole zone of
// them at once: they have no load, so every router would send to them, and they fall under it.
type ColdLimits struct {
	// PerSecond is the number of requests a second that a cold endpoint bears, 0 if endpoints are never cold.
	PerSecond float64
	// Most is the largest number of requests in any second.
	Most float64
	// Burst is the number of requests that a router may send at once: 2 if it asks a process for its start time before it sends a request
	// on a new connection, 1 otherwise.
	Burst float64
}

// coldSendDelay is the time in which a request must be sent that has been counted: what is sent within a second was counted within this
// time more.
const coldSendDelay = 250 * time.Millisecond

const coldWindowSeconds = 1 + float64(coldSendDelay)/float64(time.Second)

// Sharers returns the number of routers that may send to a cold endpoint. All others send it nothing.
func (l ColdLimits) Sharers() int {
	return int(max(1, math.Floor((l.Most-coldWindowSeconds*l.PerSecond)/l.Burst)))
}

// Share returns the requests a second that each of the sharers may send. Each has a credit of Burst at most, so in any second all of them
// send at most sharers x (Burst + coldWindowSeconds x Share), which is not above Most.
func (l ColdLimits) Share(sharers int) float64 {
	n := float64(max(1, sharers))
	return max(0, min(l.PerSecond/n, (l.Most/n-l.Burst)/coldWindowSeconds))
}

// ColdPermit is what this router may send to a cold endpoint now.
type ColdPermit struct {
	ColdLimits
	// PerRouter is this router's share in requests a second, 0 if it may send none.
	PerRouter float64
	// Routers is the number of routers that send to the endpoint after it was cold.
	Routers int
	// AfterStart is how long an endpoint is cold after its start.
	AfterStart time.Duration
}

// ColdSource says who stated that an endpoint is cold.
type ColdSource string

// Values of ColdSource.
const (
	ColdByEntry  ColdSource = "entry"
	ColdByAnswer ColdSource = "answer"
	// ColdByStart means that a process has started that isn't listed yet.
	ColdByStart ColdSource = "unlisted_start"
)

// ColdChange is the begin of an endpoint's coldness, or its end if Remaining is 0.
type ColdChange struct {
	VM        string
	Remaining time.Duration
	Source    ColdSource
	ColdPermit
}

const (
	// warmUp is the time after the coldness in which an endpoint's rate is to grow. It doubles in each warmUpStep, beginning with what the
	// endpoint bears while it is cold.
	warmUp     = 4 * time.Second
	warmUpStep = time.Second
	// warmUpDelayMS is the delay in ms that is added to the score of an endpoint which has got its part of that rate.
	warmUpDelayMS = 100
	// sentMemory is how long a router remembers that it has sent something to an endpoint: a second, with the delay of the send.
	sentMemory = 2 * time.Second
	// coldRefreshInterval is the time between two checks of all cold endpoints. What is sent is checked in any case.
	coldRefreshInterval = 20 * time.Millisecond
	// coldDelayMS is the delay in ms that is added to the score of a cold endpoint: it is slower, how much isn't known.
	coldDelayMS = 50
	// coldSpread spreads the return of callers that a cold endpoint could have served.
	coldSpread = 500 * time.Millisecond
	// usualObjective is the objective of requests to which a cold endpoint is as slow as its score says. minColdWeight and maxColdWeight
	// bound the weight for others.
	usualObjective = 600 * time.Millisecond
	minColdWeight  = 0.5
	maxColdWeight  = 4
)

// coldness is what is known of an endpoint's coldness, and what this router has sent it. An endpoint's table entry and announcement say
// until when it is cold.
type coldness struct {
	// unlistedUntil is the end of the time for which a process that isn't listed yet is taken for cold.
	unlistedUntil time.Time
	// isActive is set while the endpoint is cold, and until is the end. Afterwards it warms up.
	isActive bool
	until    time.Time
	source   ColdSource
	permit   ColdPermit
	// credit is the number of requests that this router may send at updatedAt.
	credit    float64
	updatedAt time.Time
}

// SetColdPermit sets what says how many requests this router may send to a cold endpoint now. Without it coldness has no effect.
func (t *Table) SetColdPermit(permit func(platform.VM) ColdPermit) { t.coldPermit = permit }

// TakeColdChanges returns the changes since the last call.
func (t *Table) TakeColdChanges() []ColdChange {
	changes := t.coldChanges
	t.coldChanges = nil
	return changes
}

// statedColdUntil returns the latest time until which the endpoint is cold by what its entry and its answers say.
func (e *endpoint) statedColdUntil() (time.Time, ColdSource) {
	until, source := e.vm.ColdUntil, ColdByEntry
	if e.announced != nil && e.announced.coldUntil.After(until) {
		until, source = e.announced.coldUntil, ColdByAnswer
	}
	if e.cold.unlistedUntil.After(until) {
		until, source = e.cold.unlistedUntil, ColdByStart
	}
	return until, source
}

// noteCold begins or ends the endpoint's coldness by what is known of it now.
func (t *Table) noteCold(now time.Time, e *endpoint) {
	until, source := e.statedColdUntil()
	c := &e.cold
	switch isCold := now.Before(until); {
	case isCold && !c.isActive:
		permit := ColdPermit{}
		if t.coldPermit != nil {
			permit = t.coldPermit(e.vm)
		}
		if permit.PerSecond <= 0 {
			return
		}
		*c = coldness{unlistedUntil: c.unlistedUntil, isActive: true, until: until, source: source, permit: permit, updatedAt: now}
		if !t.hasJustSent(now, e) {
			c.credit = permit.Burst // An earlier process of this VM has not sent anything either: a permit takes longer after a start.
		}
		t.coldEndpoints = append(t.coldEndpoints, e)
		t.coldChanges = append(t.coldChanges, ColdChange{VM: e.vm.Name, Remaining: until.Sub(now), Source: source, ColdPermit: permit})
	case isCold:
		c.until, c.source = until, source
	case c.isActive:
		if c.until.After(now) {
			c.until = now
		}
		t.endCold(e)
		t.coldChanges = append(t.coldChanges, ColdChange{VM: e.vm.Name, Source: c.source, ColdPermit: c.permit})
	}
}

// hasJustSent reports whether this router may have sent something to the endpoint, or to an earlier run of it, within a second.
func (t *Table) hasJustSent(now time.Time, e *endpoint) bool {
	t.forgetSent(now)
	_, recently := t.lastSentAt[e.vm.Name]
	return recently || !e.lastBegin.IsZero() && now.Sub(e.lastBegin) <= sentMemory
}

func (t *Table) forgetSent(now time.Time) {
	for vm, at := range t.lastSentAt {
		if now.Sub(at) > sentMemory {
			delete(t.lastSentAt, vm)
		}
	}
}

func (t *Table) endCold(e *endpoint) {
	if !e.cold.isActive {
		return
	}
	e.cold.isActive = false
	if i := slices.Index(t.coldEndpoints, e); i >= 0 {
		t.coldEndpoints = slices.Delete(t.coldEndpoints, i, i+1)
	}
}

// refreshCold opens and closes the cold endpoints, whose permits may have changed.
func (t *Table) refreshCold(now time.Time) {
	if len(t.coldEndpoints) == 0 || now.Sub(t.coldRefreshedAt) < coldRefreshInterval {
		return
	}
	t.coldRefreshedAt = now
	for _, e := range slices.Clone(t.coldEndpoints) {
		t.refresh(now, e)
	}
}

// update adds the credit that has accrued, at the share while the endpoint is cold and at a growing one afterwards.
func (c *coldness) update(now time.Time) {
	elapsed := now.Sub(c.updatedAt)
	if elapsed <= 0 {
		return
	}
	rate, most := c.permit.PerRouter, c.permit.Burst
	if !c.isActive {
		rate = c.warmUpRate(now)
		most = max(most, rate*warmUpStep.Seconds()/4)
	}
	c.credit = min(most, c.credit+rate*elapsed.Seconds())
	c.updatedAt = now
}

// warmUpRate returns this router's part of the requests a second that an endpoint is to get at most after its coldness. All routers derive
// it from the same numbers.
func (c *coldness) warmUpRate(now time.Time) float64 {
	return c.permit.PerSecond * math.Exp2(float64(now.Sub(c.until))/float64(warmUpStep)) / float64(max(1, c.permit.Routers))
}

func (c *coldness) isWarmingUp(now time.Time) bool {
	return !c.isActive && c.permit.PerSecond > 0 && now.Sub(c.until) < warmUp
}

// coldWait returns the time until this router may send the cold endpoint a request, and false if it may send one now or the endpoint isn't
// cold.
func (t *Table) coldWait(now time.Time, e *endpoint) (time.Duration, bool) {
	c := &e.cold
	if !c.isActive || !now.Before(c.until) {
		return 0, false
	}
	c.update(now)
	c.permit = t.coldPermit(e.vm)
	switch {
	case c.permit.PerSecond <= 0: // A new configuration says that the service is never cold.
		return 0, false
	case c.permit.PerRouter <= 0:
		return min(c.until.Sub(now), retryAfter), true
	case c.credit >= c.permit.Burst:
		return 0, false
	}
	missing := (c.permit.Burst - c.credit) / c.permit.PerRouter
	return min(c.until.Sub(now), time.Duration(missing*float64(time.Second))+time.Millisecond), true
}

// isColdClosed reports whether the endpoint is cold and this router has sent what it may.
func (t *Table) isColdClosed(now time.Time, e *endpoint) bool {
	t.noteCold(now, e)
	_, closed := t.coldWait(now, e)
	return closed
}

// reserveCold counts a request that is about to be sent, with the question that may come before it.
func (f *InFlightRequest) reserveCold(now time.Time) {
	c := &f.endpoint.cold
	if !c.isActive && !c.isWarmingUp(now) {
		return
	}
	c.update(now)
	if !c.isActive {
		c.credit = max(0, c.credit-1)
		return
	}
	if c.credit >= c.permit.Burst {
		c.credit -= c.permit.Burst
		f.coldReserved = c.permit.Burst
	}
}

// AdmitCold reports whether the request, or a question before it, may be sent to its endpoint at this moment. cold is set if the endpoint is
// cold; one that is no longer listed gets nothing. isLast is set for the request itself. It must be called directly before anything is sent: the endpoint may have become cold, or
// the connection may have taken long, since it was chosen.
func (t *Table) AdmitCold(now time.Time, f *InFlightRequest, isLast bool) (cold, ok bool) {
	e := f.endpoint
	if e.removed {
		// The present process at the address may be another one than the one chosen.
		current := t.endpoints[e.vm.Name]
		if current == nil {
			return false, false
		}
		e, f.coldReserved = current, 0
	}
	t.noteCold(now, e)
	c := &e.cold
	if !c.isActive {
		return false, true
	}
	c.update(now)
	if c.permit = t.coldPermit(e.vm); c.permit.PerSecond <= 0 {
		return false, true
	}
	if now.Sub(f.started) > coldSendDelay {
		f.coldReserved = 0
	}
	switch {
	case c.permit.PerRouter <= 0:
		return true, false
	case f.coldReserved >= 1:
		f.coldReserved--
	case c.credit >= 1:
		c.credit--
	default:
		return true, false
	}
	t.lastSentAt[e.vm.Name] = now
	if isLast {
		c.credit, f.coldReserved = min(c.permit.Burst, c.credit+f.coldReserved), 0
	}
	return true, true
}

// NameCold records that an answer of the endpoint said how long it stays cold, 0 if it isn't. The latest time that an answer has stated
// holds.
func (t *Table) NameCold(now time.Time, vm string, remaining time.Duration) {
	e := t.endpoints[vm]
	if e == nil || remaining <= 0 {
		return
	}
	if a := t.announce(now, e); now.Add(remaining).After(a.coldUntil) {
		a.coldUntil = now.Add(remaining)
	}
	t.refresh(now, e)
}

// nameStart records the start time that a process has stated, as a Unix time in ms. One that isn't listed yet is taken for cold until its
// entry comes, for as long as endpoints are cold after a start.
func (t *Table) nameStart(now time.Time, e *endpoint, started int64) {
	if started == 0 || started == e.vm.Started || t.coldPermit == nil || !e.cold.unlistedUntil.IsZero() {
		return
	}
	if after := t.coldPermit(e.vm).AfterStart; after > 0 {
		e.cold.unlistedUntil = now.Add(after)
		t.refresh(now, e)
	}
}

// IsCold reports whether the endpoint is cold.
func (t *Table) IsCold(vm string) bool {
	e := t.endpoints[vm]
	return e != nil && e.cold.isActive
}

// coldMS returns the delay in ms that is added to the endpoint's score while it is cold, most for requests with a short objective, and
// afterwards for requests beyond what it is to get while it warms up.
func (t *Table) coldMS(now time.Time, e *endpoint, r *Request) float64 {
	c := &e.cold
	switch {
	case c.isActive:
		weight := 1.0
		if r.Objective > 0 {
			weight = min(maxColdWeight, max(minColdWeight, float64(usualObjective)/float64(r.Objective)))
		}
		return coldDelayMS * weight
	case c.isWarmingUp(now):
		if c.update(now); c.credit < 1 {
			return warmUpDelayMS
		}
	}
	return 0
}
