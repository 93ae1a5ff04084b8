package router

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/admin/cli"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

// runLsctl runs an lsctl command against the first router.
func (f *fleet) runLsctl(line string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	env := cli.Env{Stdout: &out, Stderr: &errs, HTTP: http.DefaultClient, Now: time.Now, Getenv: func(name string) string {
		return map[string]string{cli.KeyVariable: operatorKey, cli.AdminVariable: f.routers[0].settings.Listen.Admin}[name]
	}}
	code = cli.Run(f.t.Context(), strings.Fields(line), env)
	return code, out.String(), errs.String()
}

// Guards against held tokens that operators can't list or release. An instance whose only witness does not answer keeps
// its grant until an operator releases it; then the whole grant returns to the budget.
func TestHeldTokensAreReleased(t *testing.T) {
	f := newFleet(t)
	f.startRouters(2)
	f.topUp(1_000)
	const router, id = "lost@1-aa", "lost@1-aa.1"
	f.put(instance.Key(id), instance.Record{
		Instance: id, Router: router, VM: "lost", Zone: "b", State: instance.Closing, Closer: router,
		Witnesses: []journal.Ref{{Router: "gone@1-bb", Address: f.nextHost() + ":8081"}},
	})
	budgetID := budget.ID{Organisation: "velocar", Budget: "main"}
	results, err := f.routers[0].accounting.ledger.Apply(t.Context(), budgetID.Organisation, []budget.Op{
		{ID: id + "/velocar/grant/1", Kind: budget.OpGrant, Budget: budgetID, Holder: id, Need: 400, Want: 400},
	})
	must.NoError(t, err)
	must.Eq(t, 400, results[0].Granted)

	f.eventually("the reason is shown", func() bool {
		_, held, _ := f.runLsctl("budget held")
		return strings.Contains(held, "witness gone@1-bb at") && strings.Contains(held, "is not reachable")
	})
	_, held, _ := f.runLsctl("budget held")
	for _, text := range []string{id, "velocar/main", "400"} {
		must.StrContains(t, held, text)
	}
	must.Len(t, 1, f.budgetStatus().Grants)
	code, out, errs := f.runLsctl("budget release -instance " + id + " -yes")
	must.Eq(t, cli.ExitOK, code, must.Sprint(errs))
	must.StrContains(t, out, "are lost")
	must.SliceEmpty(t, f.budgetStatus().Grants)
	_, held, _ = f.runLsctl("budget held")
	must.StrContains(t, held, "no instance is held")
	must.StrContains(t, f.scrape(0)+f.scrape(1), `ls_instance_closings_total{result="held_witness_unreachable"}`)
}
