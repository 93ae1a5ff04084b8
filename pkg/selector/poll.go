package selector

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/route"
)

const (
	pollInterval = time.Second
	pollTimeout  = 500 * time.Millisecond
	// reportsPerRound and eventsPerRound bound the traffic of a router whatever the number of engines.
	reportsPerRound = 16
	eventsPerRound  = 4
	maxPollBytes    = 1 << 20
)

// Poller reads the engines' load reports and cache events and passes them to a Selector.
type Poller struct {
	selector *Selector
	client   *fasthttp.Client
	// after is the sequence number of the last cache event seen of each VM.
	after map[string]uint64
}

// NewPoller returns a poller. Run must be called.
func NewPoller(s *Selector) *Poller {
	return &Poller{
		selector: s, after: map[string]uint64{},
		client: &fasthttp.Client{MaxResponseBodySize: maxPollBytes, MaxIdemponentCallAttempts: 1},
	}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.round()
		}
	}
}

// engineAddress is an engine to poll.
type engineAddress struct{ vm, address string }

// round polls the engines that are due. The first ones have own work in progress, and only their caches matter.
func (p *Poller) round() {
	due := p.selector.due(reportsPerRound)
	results := pool.NewWithResults[polled]()
	for i, e := range due {
		after := p.after[e.vm]
		results.Go(func() polled { return p.poll(e, i < eventsPerRound, after) })
	}
	for _, r := range results.Wait() {
		if next, ok := p.selector.apply(r); ok {
			p.after[r.vm] = next
		}
	}
}

// polled is what one engine answered.
type polled struct {
	vm     string
	report *route.LoadReport
	events []route.CacheEvent
	newest uint64
	// hasEvents is set if the cache events were read.
	hasEvents bool
}

func (p *Poller) poll(e engineAddress, events bool, after uint64) polled {
	result := polled{vm: e.vm}
	var load struct {
		Running int     `json:"running"`
		Queued  int     `json:"queued"`
		KVUse   float64 `json:"kv_use"`
		AgeMS   int64   `json:"age_ms"`
	}
	if err := p.get("http://"+e.address+"/v1/load", &load); err != nil {
		return result
	}
	result.report = &route.LoadReport{
		Running: load.Running, Queued: load.Queued, KVUse: load.KVUse, Age: time.Duration(load.AgeMS) * time.Millisecond,
	}
	if !events {
		return result
	}
	var answer struct {
		Events []struct {
			Sequence uint64 `json:"seq"`
			Kind     string `json:"kind"`
			Block    uint64 `json:"block"`
		} `json:"events"`
		Newest uint64 `json:"newest"`
	}
	if err := p.get("http://"+e.address+"/v1/cache/events?after="+strconv.FormatUint(after, 10), &answer); err != nil {
		return result
	}
	result.hasEvents, result.newest = true, answer.Newest
	for _, event := range answer.Events {
		result.events = append(result.events, route.CacheEvent{
			Sequence: event.Sequence, Evicted: event.Kind == "evicted", Block: event.Block,
		})
	}
	return result
}

func (p *Poller) get(uri string, into any) error {
	status, body, err := p.client.GetTimeout(nil, uri, pollTimeout)
	if err != nil {
		return fmt.Errorf("selector: poll %s: %w", uri, err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("selector: poll %s: status %d", uri, status)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("selector: decode answer of %s: %w", uri, err)
	}
	return nil
}

type dueQuery struct {
	limit int
	reply chan []engineAddress
}

// due returns the engines whose load should be polled next.
func (s *Selector) due(limit int) []engineAddress {
	m := dueQuery{limit: limit, reply: make(chan []engineAddress, 1)}
	due, _ := ask(s, m, m.reply)
	return due
}

func (m dueQuery) handle(s *Selector, _ time.Time) {
	addresses := make(map[string]string, len(s.vms))
	for i := range s.vms {
		addresses[s.vms[i].Name] = s.vms[i].Address
	}
	var due []engineAddress
	for _, vm := range s.table.DueReports(nil, m.limit) {
		due = append(due, engineAddress{vm: vm, address: addresses[vm]})
	}
	m.reply <- due
}

type applyPoll struct {
	polled polled
	reply  chan uint64
}

// apply passes a poll's result to the table and returns the number after which the next events are read. ok is
// false if no events were read.
func (s *Selector) apply(r polled) (next uint64, ok bool) {
	m := applyPoll{polled: r, reply: make(chan uint64, 1)}
	next, ok = ask(s, m, m.reply)
	return next, ok && r.hasEvents
}

func (m applyPoll) handle(s *Selector, now time.Time) {
	var next uint64
	switch {
	case m.polled.report == nil:
		s.table.ReportPollFailure(now, m.polled.vm)
	default:
		s.table.Report(now, m.polled.vm, *m.polled.report)
	}
	if m.polled.hasEvents {
		next = s.table.ApplyCacheEvents(now, m.polled.vm, m.polled.events, m.polled.newest)
	}
	m.reply <- next
}
