package router

import (
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/service"
)

var (
	metricLine = regexp.MustCompile(`(?m)^(ls_[a-z_]+)(\{[^}]*\})? (\S+)$`)
	labelName  = regexp.MustCompile(`([a-z_]+)="`)
)

// scrape returns the response of a router's /metrics endpoint.
func (f *fleet) scrape(router int) string {
	f.t.Helper()
	resp, err := http.Get("http://" + f.routers[router].settings.Listen.Admin + "/metrics")
	must.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	must.Eq(f.t, http.StatusOK, resp.StatusCode)
	data, err := io.ReadAll(resp.Body)
	must.NoError(f.t, err)
	return string(data)
}

// Guards against metrics that are missing or don't change with the requests served, and against labels with an
// unbounded number of values, such as request ids, keys and budgets.
func TestMetrics(t *testing.T) {
	f := newFleet(t)
	f.startEngine(nil)
	f.startService(service.Config{})
	f.startRouters(2)
	f.topUp(1_000_000)
	f.eventually("the routers witness for each other", func() bool {
		return strings.Contains(f.scrape(0), `ls_journal_witnesses{state="answering"} 1`)
	})
	must.Eq(t, 200, f.post(0, "/v1/chat/completions", "", "", chatBody("shift summary", false)).status)
	must.Eq(t, 200, f.post(0, "/v1/services/booking/reserve", "ride", "ride-1", "{}").status)
	must.Eq(t, 400, f.post(0, "/v1/chat/completions", "unknown", "", chatBody("x", false)).status)
	f.eventually("bills are flushed", func() bool {
		return strings.Contains(f.scrape(0), "ls_purse_unflushed_bills 0") && f.budgetStatus().Settled > 0
	})
	text := f.scrape(0)
	for _, want := range []string{
		`ls_build_info{`, `ls_purse_tokens{state="free"}`, `ls_purse_reservations 0`, `ls_purse_waiting_requests 0`,
		`ls_purse_tokens_above_reservation_total 0`, `ls_journal_witnesses{state="answering"} 1`, `ls_journal_witnesses{state="failing"} 0`,
		`ls_journal_copies `, `ls_journal_entries `, `ls_ledger_platform_calls_total{kind="put"}`, `ls_ledger_platform_failures_total{cause="conflict"}`,
		`ls_ledger_queue{class="settle"} 0`, `ls_ledger_platform_available 1`, `ls_claims_open 0`, `ls_claims_total{result="granted"} 1`,
		`ls_claims_total{result="finished"} 1`, `ls_members{state="alive"} 2`, `ls_member_probes_failed_total`, `ls_config_revision `,
		`ls_config_age_seconds `, `ls_config_changes_total `, `ls_vm_list_age_seconds `, `ls_route_decisions_total{reason="only_candidate"} 2`,
		`ls_route_endpoints{state="open"} 2`, `ls_route_prompt_tokens_total `, `ls_route_cached_tokens_total `,
		`ls_admission_queued{target="whole"} 0`, `ls_admission_running 0`, `ls_admission_retries_denied_total 0`,
		`ls_crash_records{state="stopped"} 0`, `ls_requests_total{`,
	} {
		must.StrContains(t, text, want)
	}
	allowed := []string{"state", "reason", "result", "kind", "cause", "class", "target", "outcome", "le", "version", "revision", "go"}
	for _, line := range metricLine.FindAllStringSubmatch(text, -1) {
		for _, label := range labelName.FindAllStringSubmatch(line[2], -1) {
			must.True(t, slices.Contains(allowed, label[1]), must.Sprint(line[0]))
		}
	}
}
