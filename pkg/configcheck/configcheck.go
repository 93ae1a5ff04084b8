// Package configcheck finds faults in a configuration before it is sent, and what it changes.
package configcheck

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/retry"
)

// Severity states what a finding means for the configuration.
type Severity string

// Values of Severity.
const (
	// Error means that routers reject the configuration, or that requests fail or are charged to another organisation.
	Error Severity = "error"
	// Warning means that an entry has no effect or contradicts another one.
	Warning Severity = "warning"
)

// Finding is a fault in a configuration. Field is a name of pkg/catalog.
type Finding struct {
	Severity Severity `json:"severity"`
	Entry    string   `json:"entry"`
	Field    string   `json:"field"`
	Text     string   `json:"text"`
}

// Bounds are limits outside of the configuration. A check whose bound is 0 is left out.
type Bounds struct {
	// HeaderBytes is the largest head that a router accepts under any configuration.
	HeaderBytes int
	// MemoryBytes is the memory of the smallest VM.
	MemoryBytes int64
	// RequestTokens is the number of tokens of one request.
	RequestTokens int64
	// Retry is the retry budget that Routers share; nil if unknown.
	Retry   *retry.Limits
	Routers int
}

type review struct {
	catalog.Config
	bounds   Bounds
	findings []Finding
}

func (r *review) add(severity Severity, entry, field, format string, args ...any) {
	r.findings = append(r.findings, Finding{severity, entry, field, fmt.Sprintf(format, args...)})
}

// Review returns the findings of a configuration, errors first. decodeProblems are those that its decoder found.
func Review(c catalog.Config, decodeProblems catalog.Problems, b Bounds) []Finding {
	r := &review{Config: c, bounds: b}
	for _, p := range slices.Concat(decodeProblems, c.Validate()) {
		r.add(Error, p.Entry, p.Field, "%s", p.Text)
	}
	r.names()
	r.routes()
	r.services()
	r.organisations()
	r.limits()
	return SortFindings(r.findings)
}

// SortFindings puts errors first and keeps the order otherwise.
func SortFindings(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return findings
}

func serviceEntry(name string) string      { return fmt.Sprintf("service %q", name) }
func organisationEntry(name string) string { return fmt.Sprintf("organisation %q", name) }

// names finds a missing version, a configuration without routes, and names that several entries have.
func (r *review) names() {
	if r.Version == 0 {
		r.add(Warning, "configuration", catalog.FieldVersion, "the version is missing or 0")
	}
	if len(r.Routes) == 0 {
		r.add(Warning, "configuration", "routes", "there is no route: every request is refused")
	}
	var entries []string
	for _, e := range r.Routes {
		entries = append(entries, catalog.RouteEntry(e.Name))
	}
	for _, e := range r.Services {
		entries = append(entries, serviceEntry(e.Name))
	}
	for _, e := range r.Organisations {
		entries = append(entries, organisationEntry(e.Name))
	}
	counts := map[string]int{}
	for _, entry := range entries {
		if counts[entry]++; counts[entry] == 2 {
			r.add(Warning, entry, catalog.FieldName, "several entries have this name")
		}
	}
}

func (r *review) routes() {
	known := map[string]bool{}
	for _, s := range r.Services {
		known[s.Name] = true
	}
	first := map[string]string{}
	for _, route := range r.Routes {
		entry := catalog.RouteEntry(route.Name)
		where := strings.ToLower(route.Host) + route.Prefix
		if other, ok := first[where]; ok {
			r.add(Warning, entry, catalog.FieldPrefix, "never matches: %s before it has the same host and prefix", other)
		} else {
			first[where] = entry
		}
		total := 0
		for _, b := range route.Backends {
			total += max(0, b.Weight)
		}
		for i, b := range route.Backends {
			if !known[b.Service] {
				r.add(Error, entry, catalog.FieldBackends, "service %q is not configured: its requests are refused", b.Service)
			}
			switch {
			case b.Weight > 0:
			case total == 0 && i == 0:
				r.add(Warning, entry, catalog.FieldBackends, "service %q has weight %d and gets all requests, because no backend has a weight", b.Service, b.Weight)
			default:
				r.add(Warning, entry, catalog.FieldBackends, "service %q has weight %d and gets no requests", b.Service, b.Weight)
			}
		}
		if route.Timeout > 0 && route.Timeout < route.Objective {
			r.add(Warning, entry, catalog.FieldTimeout, "the timeout of %s is below the target latency of %s", route.Timeout, route.Objective)
		}
		if route.Timeout > 0 && route.PauseObjective > route.Timeout {
			r.add(Warning, entry, catalog.FieldPauseObjective, "the pause objective of %s is above the timeout of %s", route.PauseObjective, route.Timeout)
		}
		r.retries(route, entry)
	}
}

// retries asks the routers' own budget, at a router that has only this request: with more requests each one's share of
// the fixed part of the budget is smaller.
func (r *review) retries(route catalog.Route, entry string) {
	wanted := route.MaxAttempts - 1
	if r.bounds.Retry == nil || wanted < 1 {
		return
	}
	now := time.Unix(0, 0)
	budget := retry.New(*r.bounds.Retry, now, true)
	budget.RecordRequest("", now)
	allowed, routers := 0, max(1, r.bounds.Routers)
	for allowed < wanted && budget.Allow("", now, routers) {
		allowed++
	}
	if allowed < wanted {
		r.add(Warning, entry, catalog.FieldMaxAttempts, "a request may be retried %d times, but the retry budget of one of %d routers allows %d for a request that is alone", wanted, routers, allowed)
	}
}

func (r *review) services() {
	used := map[string]bool{}
	for _, route := range r.Routes {
		for _, b := range route.Backends {
			used[b.Service] = true
		}
	}
	for _, s := range r.Services {
		entry := serviceEntry(s.Name)
		if !used[s.Name] {
			r.add(Warning, entry, catalog.FieldName, "no route uses the service")
		}
		if s.TokensPerEvent > 0 && s.Slots <= 0 {
			r.add(Warning, entry, catalog.FieldSlots, "the engine has %d slots; routers take the number as unknown", s.Slots)
		}
		if s.MaxConnections <= 0 {
			r.add(Warning, entry, catalog.FieldConnections, "no connections are allowed; routers take the number as unknown")
		}
	}
}

func (r *review) organisations() {
	holders := map[string]string{}
	for _, o := range r.Organisations {
		entry := organisationEntry(o.Name)
		if len(o.Keys) == 0 {
			r.add(Warning, entry, catalog.FieldKeys, "the organisation has no keys: no request belongs to it")
		}
		for _, key := range o.Keys {
			if key == "" {
				r.add(Error, entry, catalog.FieldKeys, "a key is empty: requests without a key belong to the organisation")
			}
			if other, ok := holders[key]; ok && other != entry {
				r.add(Error, entry, catalog.FieldKeys, "%s holds the key with hash %s as well; the last entry gets its requests", other, keyHash(key))
			}
			holders[key] = entry
		}
		if o.Limited && o.Prepaid < r.bounds.RequestTokens {
			r.add(Warning, entry, catalog.FieldPrepaid, "the prepaid total of %d tokens is below one request of %d", o.Prepaid, r.bounds.RequestTokens)
		}
	}
}

func (r *review) limits() {
	if b := r.bounds.HeaderBytes; b > 0 && r.Limits.MaxHeaderBytes > b {
		r.add(Warning, "limits", catalog.FieldHeaderBytes, "%d bytes are allowed, but routers refuse heads above %d", r.Limits.MaxHeaderBytes, b)
	}
	if b := r.bounds.MemoryBytes; b > 0 && r.Limits.MaxBodyBytes > b {
		r.add(Warning, "limits", catalog.FieldBodyBytes, "%d bytes are allowed, but the smallest VM has %d bytes of memory", r.Limits.MaxBodyBytes, b)
	}
}

// keyHash returns a short hash of keys, which tells sets of keys apart without showing them.
func keyHash(keys ...string) string {
	h := sha256.New()
	for _, key := range slices.Sorted(slices.Values(keys)) {
		fmt.Fprintf(h, "%q\n", key)
	}
	return hex.EncodeToString(h.Sum(nil)[:4])
}
