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

// ctl runs a command of lsctl against the first router.
func (f *fleet) ctl(line string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	env := cli.Env{Stdout: &out, Stderr: &errs, HTTP: http.DefaultClient, Now: time.Now, Getenv: func(name string) string {
		return map[string]string{cli.KeyVariable: operatorKey, cli.AdminVariable: f.routers[0].settings.Listen.Admin}[name]
	}}
	code = cli.Run(f.t.Context(), strings.Fields(line), env)
	return code, out.String(), errs.String()
}

// Guards against held tokens that no operator can see or release: an instance whose only witness does not answer
// keeps its grant until it is released, and then the whole grant is back in the budget.
func TestHeldTokensAreReleased(t *testing.T) {
	f := newFleet(t)
	f.startRouters(2)
	f.topUp(1_000)
	const router, id = "lost@1-aa", "lost@1-aa.1"
	f.put(instance.Key(id), instance.Record{
		Instance: id, Router: router, VM: "lost", Zone: "b", State: instance.Closing, Closer: router,
		Witnesses: []journal.Ref{{Router: "gone@1-bb", Address: f.host() + ":8081"}},
	})
	main := budget.ID{Organisation: "velocar", Budget: "main"}
	results, err := f.routers[0].accounting.ledger.Apply(t.Context(), main.Organisation, []budget.Op{
		{ID: id + "/velocar/grant/1", Kind: budget.OpGrant, Budget: main, Holder: id, Need: 400, Want: 400},
	})
	must.NoError(t, err)
	must.Eq(t, 400, results[0].Granted)

	f.eventually("the reason is shown", func() bool {
		_, held, _ := f.ctl("budget held")
		return strings.Contains(held, "witness gone@1-bb at") && strings.Contains(held, "is not reachable")
	})
	_, held, _ := f.ctl("budget held")
	for _, text := range []string{id, "velocar/main", "400"} {
		must.StrContains(t, held, text)
	}
	must.Len(t, 1, f.status().Grants)
	code, out, errs := f.ctl("budget release -instance " + id + " -yes")
	must.Eq(t, cli.ExitOK, code, must.Sprint(errs))
	must.StrContains(t, out, "are lost")
	must.SliceEmpty(t, f.status().Grants)
	_, held, _ = f.ctl("budget held")
	must.StrContains(t, held, "no instance is held")
	must.StrContains(t, f.scrape(0)+f.scrape(1), `ls_instance_closings_total{result="held_witness_unreachable"}`)
}
