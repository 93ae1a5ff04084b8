package router

import (
	"runtime"
	"runtime/debug"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/telemetry"
)

// registerMetrics creates the instruments of the router's parts, which docs/metrics.md describes. The relay package
// creates those of requests.
func (r *Router) registerMetrics() error {
	i := telemetry.NewInstruments(r.metrics.Meter)
	registerBuild(i)
	r.accounting.registerMetrics(i)
	r.registerFleet(i)
	r.registerRouting(i)
	return i.Err()
}

func registerBuild(i *telemetry.Instruments) {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	i.Gauge("ls_build_info", "", "Build of the process; the value is 1.", func(observe telemetry.Observe) {
		observe(1, "version", version, "revision", revision, "go", runtime.Version())
	})
}

func (r *Router) registerFleet(i *telemetry.Instruments) {
	i.Gauge("ls_members", "", "Routers known to this one, by state.", func(observe telemetry.Observe) {
		states := map[member.State]int64{member.Alive: 0, member.Unreachable: 0, member.Leaving: 0, member.Failed: 0}
		for _, m := range r.members.Members() {
			states[m.State]++
		}
		for state, n := range states {
			observe(n, "state", string(state))
		}
	})
	i.Counter("ls_member_probes_failed", "", "Direct probes that the probed router has not answered.", telemetry.Value(r.members.FailedProbes))
	i.Gauge("ls_config_revision", "", "Revision up to which this router knows every change of the configuration.",
		telemetry.Value(func() int64 { return int64(r.config.Summary().Floor) }))
	i.Counter("ls_config_changes", "", "Versions of configuration objects taken over.", telemetry.Value(r.config.AcceptedCount))
	i.Age("ls_config_age", "Time since the platform confirmed the configuration, directly or through peers.",
		func() (time.Duration, bool) {
			age := r.replicator.SinceConfirmed()
			return age, age >= 0
		})
	i.Age("ls_vm_list_age", "Time since the VM list was read from the platform, by this router or a peer.",
		func() (time.Duration, bool) {
			read := r.vms.Current().ReadAt
			return time.Since(read), !read.IsZero()
		})
}

func (r *Router) registerRouting(i *telemetry.Instruments) {
	i.Counter("ls_route_decisions", "", "Choices of an endpoint by reason.", telemetry.ByLabel("reason", r.selector.Decisions))
	i.Gauge("ls_route_endpoints", "", "Endpoints by state.", telemetry.ByLabel("state", r.selector.States))
	i.Counter("ls_route_prompt_tokens", "{token}", "Prompt tokens of requests for which an endpoint was chosen.",
		telemetry.Value(func() int64 { all, _ := r.selector.PromptTokens(); return all }))
	i.Counter("ls_route_cached_tokens", "{token}", "Prompt tokens expected in the prefix cache of the chosen endpoint.",
		telemetry.Value(func() int64 { _, cached := r.selector.PromptTokens(); return cached }))
	i.Gauge("ls_admission_queued", "", "Queued requests by the target of their class.", func(observe telemetry.Observe) {
		deadline, whole, _ := r.gate.Load()
		observe(int64(deadline), "target", "deadline")
		observe(int64(whole), "target", "whole")
	})
	i.Gauge("ls_admission_running", "", "Admitted requests that have not ended.",
		telemetry.Value(func() int64 { _, _, running := r.gate.Load(); return int64(running) }))
	i.Counter("ls_admission_refusals", "", "Requests refused by admission, by reason.", telemetry.ByLabel("reason", r.gate.Refusals))
	i.Counter("ls_admission_retries_denied", "", "Retries that the retry budget did not allow.", telemetry.Value(r.gate.DeniedRetries))
	i.Gauge("ls_crash_records", "", "Requests that ran at a crashed endpoint, by state.", func(observe telemetry.Observe) {
		suspects, stopped := r.crashes.Counts()
		observe(int64(suspects), "state", "suspect")
		observe(int64(stopped), "state", "stopped")
	})
}
