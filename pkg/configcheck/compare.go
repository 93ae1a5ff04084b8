package configcheck

import (
	"fmt"
	"strings"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
)

// Change is a difference between two configurations. Field, Before and After are empty for an added or removed entry.
type Change struct {
	// Action is added, removed or changed.
	Action string `json:"action"`
	Entry  string `json:"entry"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Compare returns what next changes, and the findings about its version. If several entries have a name, only the last one
// is compared, which Review reports.
func Compare(inForce, next catalog.Config) ([]Change, []Finding) {
	var findings []Finding
	switch {
	case next.Version < inForce.Version:
		findings = []Finding{{Error, "configuration", catalog.FieldVersion,
			fmt.Sprintf("version %d is below version %d in force: routers ignore it", next.Version, inForce.Version)}}
	case next.Version == inForce.Version:
		findings = []Finding{{Warning, "configuration", catalog.FieldVersion,
			fmt.Sprintf("version %d is in force already: logs can't tell both apart", next.Version)}}
	}
	changes := []Change{}
	before, order := describe(inForce)
	after, nextOrder := describe(next)
	for _, entry := range order {
		if _, ok := after[entry]; !ok {
			changes = append(changes, Change{Action: "removed", Entry: entry})
		}
	}
	for _, entry := range nextOrder {
		old, ok := before[entry]
		if !ok {
			changes = append(changes, Change{Action: "added", Entry: entry})
			continue
		}
		for i, f := range after[entry] {
			if f != old[i] {
				changes = append(changes, Change{"changed", entry, f.name, old[i].text, f.text})
			}
		}
	}
	return changes, findings
}

type field struct{ name, text string }

// fieldsOf returns fields from alternating names and values.
func fieldsOf(values ...any) []field {
	var fields []field
	for i := 0; i < len(values); i += 2 {
		fields = append(fields, field{fmt.Sprint(values[i]), fmt.Sprint(values[i+1])})
	}
	return fields
}

// describe returns the fields of each entry as text, and the entries in their order. All entries of a kind have the same
// fields.
func describe(c catalog.Config) (map[string][]field, []string) {
	entries := map[string][]field{}
	var order []string
	add := func(entry string, values ...any) {
		if _, ok := entries[entry]; !ok {
			order = append(order, entry)
		}
		entries[entry] = fieldsOf(values...)
	}
	for _, r := range c.Routes {
		add(catalog.RouteEntry(r.Name), catalog.FieldHost, r.Host, catalog.FieldPrefix, r.Prefix,
			catalog.FieldSemantics, semanticsText(r), catalog.FieldTimeout, r.Timeout, catalog.FieldObjective, r.Objective,
			catalog.FieldPauseObjective, r.PauseObjective, catalog.FieldPriority, r.Priority, catalog.FieldMaxAttempts, r.MaxAttempts,
			catalog.FieldPublic, r.Public, catalog.FieldBackends, backendsText(r.Backends),
			catalog.FieldRegions, regionsText(r.AllowedRegions))
	}
	for _, s := range c.Services {
		add(serviceEntry(s.Name), catalog.FieldSlots, s.Slots, catalog.FieldStride, s.TokensPerEvent,
			catalog.FieldConnections, s.MaxConnections, catalog.FieldColdStart, s.ColdStart, catalog.FieldColdRate, s.ColdPerSecond)
	}
	for _, o := range c.Organisations {
		keys, priority, prepaid := "0 keys", "that of the route", "no limit"
		if len(o.Keys) > 0 {
			keys = fmt.Sprintf("%d keys, hash %s", len(o.Keys), keyHash(o.Keys...))
		}
		if o.HasPriority {
			priority = fmt.Sprint(o.Priority)
		}
		if o.Limited {
			prepaid = fmt.Sprint(o.Prepaid)
		}
		add(organisationEntry(o.Name), catalog.FieldKeys, keys, catalog.FieldPriority, priority, catalog.FieldPrepaid, prepaid,
			catalog.FieldRegions, regionsText(o.AllowedRegions))
	}
	add("limits", catalog.FieldHeaderBytes, c.Limits.MaxHeaderBytes, catalog.FieldBodyBytes, c.Limits.MaxBodyBytes,
		catalog.FieldHeaderTime, c.Limits.HeaderTimeout, catalog.FieldIdleTime, c.Limits.IdleTimeout)
	return entries, order
}

func semanticsText(r catalog.Route) string {
	text := "any number of runs"
	if r.Semantics == catalog.AtMostOnce {
		text = "at most one run"
	}
	if r.Streaming {
		text = "stream, " + text
	}
	if r.Resumable {
		text = "resumable " + text
	}
	return text
}

func backendsText(backends []catalog.Backend) string {
	var parts []string
	for _, b := range backends {
		parts = append(parts, fmt.Sprintf("%s:%d", b.Service, b.Weight))
	}
	return strings.Join(parts, " ")
}

func regionsText(regions []string) string {
	if len(regions) == 0 {
		return "any"
	}
	return fmt.Sprintf("%q", regions)
}
