package catalog

import (
	"fmt"
	"strings"
)

// Names of fields in problems. Adapters translate them into those of their format.
const (
	FieldVersion        = "version"
	FieldName           = "name"
	FieldHost           = "host"
	FieldPrefix         = "prefix"
	FieldSemantics      = "semantics"
	FieldTimeout        = "timeout"
	FieldObjective      = "objective"
	FieldPauseObjective = "pause objective"
	FieldPriority       = "priority"
	FieldMaxAttempts    = "max attempts"
	FieldPublic         = "public"
	FieldBackends       = "backends"
	FieldSlots          = "slots"
	FieldStride         = "tokens per event"
	FieldConnections    = "connections"
	FieldColdStart      = "cold start"
	FieldColdRate       = "requests a second while cold"
	FieldRegions        = "allowed regions"
	FieldKeys           = "keys"
	FieldPrepaid        = "prepaid"
	FieldHeaderBytes    = "header bytes"
	FieldBodyBytes      = "body bytes"
	FieldHeaderTime     = "header timeout"
	FieldIdleTime       = "idle timeout"
)

// Problem is a reason why a configuration is invalid.
type Problem struct{ Entry, Field, Text string }

// Problems is the error of an invalid configuration. It wraps ErrInvalid.
type Problems []Problem

// Error names the first problem only: a log line stays short if all routes are invalid.
func (p Problems) Error() string {
	if len(p) == 0 {
		return ErrInvalid.Error()
	}
	text := fmt.Sprintf("%v: %s: %s", ErrInvalid, p[0].Entry, p[0].Text)
	if len(p) > 1 {
		text += fmt.Sprintf(", and %d more problems", len(p)-1)
	}
	return text
}

func (p Problems) Unwrap() error { return ErrInvalid }

// RouteEntry returns the name of a route in problems.
func RouteEntry(name string) string { return fmt.Sprintf("route %q", name) }

// Validate returns all problems, or nil for a valid configuration.
func (c Config) Validate() Problems {
	var found Problems
	for _, r := range c.Routes {
		add := func(field, text string) { found = append(found, Problem{RouteEntry(r.Name), field, text}) }
		if r.Host == "" {
			add(FieldHost, "missing host")
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			add(FieldPrefix, fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix))
		}
		if len(r.Backends) == 0 {
			add(FieldBackends, "missing service")
		}
		if r.Timeout <= 0 {
			add(FieldTimeout, "timeout must be positive")
		}
	}
	return found
}
