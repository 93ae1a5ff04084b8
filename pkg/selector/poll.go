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
	// reportsPerRound and eventsPerRound are the numbers of engines whose load and cache events are read per pollInterval.
	// They bound the router's polling traffic independently of the number of engines.
	reportsPerRound      = 16
	eventsPerRound       = 4
	maxPollResponseBytes = 1 << 20
)

// Poller reads the engines' load reports and cache events and passes them to a Selector.
type Poller struct {
	selector *Selector
	client   *fasthttp.Client
	// lastSequence is the sequence number of the last cache event read from each VM.
	lastSequence map[string]uint64
}

// NewPoller returns a poller, which polls while Run is running.
func NewPoller(s *Selector) *Poller {
	return &Poller{
		selector: s, lastSequence: map[string]uint64{},
		client: &fasthttp.Client{MaxResponseBodySize: maxPollResponseBytes, MaxIdemponentCallAttempts: 1},
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
			p.pollDue()
		}
	}
}

// engineAddress is the name and address of an engine's VM.
type engineAddress struct{ vm, address string }

// pollDue polls the engines that are due. Those with requests of this router in progress come first. Cache events are
// read only from the first eventsPerRound, because only the caches of engines with such requests matter.
func (p *Poller) pollDue() {
	due := p.selector.dueEngines(reportsPerRound)
	results := pool.NewWithResults[pollResult]()
	for i, e := range due {
		after := p.lastSequence[e.vm]
		results.Go(func() pollResult { return p.poll(e, i < eventsPerRound, after) })
	}
	for _, r := range results.Wait() {
		if next, ok := p.selector.applyPollResult(r); ok {
			p.lastSequence[r.vm] = next
		}
	}
}

// pollResult is the result of polling one engine.
type pollResult struct {
	vm string
	// report is nil if the load could not be read.
	report *route.LoadReport
	events []route.CacheEvent
	newest uint64
	// hasEvents is set if the cache events were read.
	hasEvents bool
}

func (p *Poller) poll(e engineAddress, readEvents bool, after uint64) pollResult {
	result := pollResult{vm: e.vm}
	var load struct {
		Running int     `json:"running"`
		Queued  int     `json:"queued"`
		KVUse   float64 `json:"kv_use"`
		AgeMS   int64   `json:"age_ms"`
	}
	if err := p.getJSON("http://"+e.address+"/v1/load", &load); err != nil {
		return result
	}
	result.report = &route.LoadReport{
		Running: load.Running, Queued: load.Queued, KVUse: load.KVUse, Age: time.Duration(load.AgeMS) * time.Millisecond,
	}
	if !readEvents {
		return result
	}
	var response struct {
		Events []struct {
			Sequence uint64 `json:"seq"`
			Kind     string `json:"kind"`
			Block    uint64 `json:"block"`
		} `json:"events"`
		Newest uint64 `json:"newest"`
	}
	if err := p.getJSON("http://"+e.address+"/v1/cache/events?after="+strconv.FormatUint(after, 10), &response); err != nil {
		return result
	}
	result.hasEvents, result.newest = true, response.Newest
	for _, event := range response.Events {
		result.events = append(result.events, route.CacheEvent{
			Sequence: event.Sequence, Evicted: event.Kind == "evicted", Block: event.Block,
		})
	}
	return result
}

func (p *Poller) getJSON(uri string, target any) error {
	status, body, err := p.client.GetTimeout(nil, uri, pollTimeout)
	if err != nil {
		return fmt.Errorf("selector: poll %s: %w", uri, err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("selector: poll %s: status %d", uri, status)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("selector: decode response from %s: %w", uri, err)
	}
	return nil
}

type dueEnginesMessage struct {
	limit int
	reply chan []engineAddress
}

// dueEngines returns at most limit engines whose load should be polled next. It is empty after Run has ended.
func (s *Selector) dueEngines(limit int) []engineAddress {
	m := dueEnginesMessage{limit: limit, reply: make(chan []engineAddress, 1)}
	due, _ := sendAndReceive(s, m, m.reply)
	return due
}

func (m dueEnginesMessage) handle(s *Selector, _ time.Time) {
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

type pollResultMessage struct {
	result pollResult
	reply  chan uint64
}

// applyPollResult passes a poll's result to the table and returns the sequence number after which the next events are
// read. ok is false if no events were read.
func (s *Selector) applyPollResult(r pollResult) (next uint64, ok bool) {
	m := pollResultMessage{result: r, reply: make(chan uint64, 1)}
	next, ok = sendAndReceive(s, m, m.reply)
	return next, ok && r.hasEvents
}

func (m pollResultMessage) handle(s *Selector, now time.Time) {
	var next uint64
	switch {
	case m.result.report == nil:
		s.table.ReportPollFailure(now, m.result.vm)
	default:
		s.table.Report(now, m.result.vm, *m.result.report)
	}
	if m.result.hasEvents {
		next = s.table.ApplyCacheEvents(now, m.result.vm, m.result.events, m.result.newest)
	}
	m.reply <- next
}
