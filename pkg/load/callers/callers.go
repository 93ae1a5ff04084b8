// Package callers joins the log lines of a fleet's routers into what the callers of each organisation got over time: who waited, who was
// rejected and why, and which routers had the work.
package callers

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavendershunt/lavendershunt/pkg/load/routerlog"
)

// Group says by what requests are grouped.
type Group string

// Groups of requests.
const (
	ByOrganisation Group = "organisation"
	ByRouter       Group = "router"
	ByRoute        Group = "route"
)

// unknown stands for a request that was rejected before its organisation or route was known.
const unknown = "-"

// maxWaitMS is the longest time to the first byte that is told apart, in ms.
const maxWaitMS = 60_000

// Row is what the requests of one group got in one interval. Counts include the lines that routers left out.
type Row struct {
	// From is the start of the interval in seconds from the start of traffic.
	From  float64
	Group string
	// Requests is the number of requests, Served that of those with a whole answer of an endpoint.
	Requests, Served int
	// Outcomes counts all others by reason of rejection, or by how they ended.
	Outcomes map[string]int
	// Routers counts the requests by router.
	Routers map[string]int
	// first holds the times to the first byte of served requests in ms.
	first *hdrhistogram.Histogram
}

// FirstMS returns a quantile of the times to the first byte of the requests that were served, in ms, 0 without any.
func (r *Row) FirstMS(percent float64) int64 { return r.first.ValueAtPercentile(percent) }

// fields of a line about the end of a request.
type fields struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Reason       string `json:"reason"`
	FirstMS      *int64 `json:"first_ms"`
	LeftOut      int    `json:"lines_left_out"`
	ForRouter    bool   `json:"for_router"`
}

// Rows returns one row for each interval of the given length in seconds and each group that had requests in it, ordered by time and
// then by the number of requests.
func Rows(log io.Reader, by Group, interval float64) ([]*Row, error) {
	type key struct {
		interval int
		group    string
	}
	rows := map[key]*Row{}
	err := routerlog.Read(log, func(l routerlog.Line) error {
		if !strings.HasPrefix(l.Message, "request_") {
			return nil
		}
		var f fields
		if err := json.Unmarshal(l.Fields, &f); err != nil {
			return fmt.Errorf("callers: %s of %s at %g s: %w", l.Message, l.Router, l.At, err)
		}
		if f.ForRouter {
			return nil // The router that the caller called has a line as well.
		}
		k := key{int(math.Floor(l.At / interval)), f.group(by, l.Router)}
		row := rows[k]
		if row == nil {
			row = &Row{
				From: float64(k.interval) * interval, Group: k.group, Outcomes: map[string]int{}, Routers: map[string]int{},
				first: hdrhistogram.New(1, maxWaitMS, 2),
			}
			rows[k] = row
		}
		row.add(l, &f)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(b.Requests, a.Requests), strings.Compare(a.Group, b.Group))
	}), nil
}

func (f *fields) group(by Group, router string) string {
	switch by {
	case ByRouter:
		return router
	case ByRoute:
		return cmp.Or(f.Route, unknown)
	}
	return cmp.Or(f.Organisation, unknown)
}

func (r *Row) add(l routerlog.Line, f *fields) {
	n := 1 + f.LeftOut
	r.Requests += n
	r.Routers[l.Router] += n
	if l.Message != "request_done" {
		r.Outcomes[cmp.Or(f.Reason, strings.TrimPrefix(l.Message, "request_"))] += n
		return
	}
	r.Served += n
	if f.FirstMS != nil {
		// The lines that were left out are taken to be like this one. An error means a time beyond maxWaitMS.
		_ = r.first.RecordValues(min(*f.FirstMS, maxWaitMS), int64(n))
	}
}
