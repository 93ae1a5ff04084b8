package callers

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/load/routerlog"
)

const log = `built in 3.1 s
  -1.5 vm-1 {"fields":{},"level":"info","message":"ready"}
   0.2 vm-1 {"fields":{"organisation":"a","route":"r","first_ms":20,"lines_left_out":2},"level":"info","message":"request_done"}
   0.3 vm-2 {"fields":{"organisation":"a","route":"r","reason":"budget_exhausted"},"level":"info","message":"request_not_run"}
   0.4 vm-3 {"fields":{"organisation":"a","route":"r","for_router":true},"level":"info","message":"request_done"}
   0.5 vm-2 {"fields":{"reason":"unauthorized","route":""},"level":"info","message":"request_not_run"}
   1.1 vm-2 {"fields":{"organisation":"a","route":"r"},"level":"info","message":"request_broken"}
`

// Guards against a table that leaves out the requests whose lines a busy router suppressed, or counts a request twice that one router
// sent for another.
func TestRowsCountEachRequestOnce(t *testing.T) {
	rows, err := Rows(strings.NewReader(log), ByOrganisation, 1)
	must.NoError(t, err)
	must.Len(t, 3, rows)
	first := rows[0]
	must.EqOp(t, "a", first.Group)
	must.EqOp(t, 4, first.Requests)
	must.EqOp(t, 3, first.Served)
	must.Eq(t, map[string]int{"budget_exhausted": 1}, first.Outcomes)
	must.Eq(t, map[string]int{"vm-1": 3, "vm-2": 1}, first.Routers)
	must.EqOp(t, 20, first.FirstMS(50))
	must.EqOp(t, unknown, rows[1].Group)
	must.Eq(t, map[string]int{"broken": 1}, rows[2].Outcomes)
	byRouter, err := Rows(strings.NewReader(log), ByRouter, 10)
	must.NoError(t, err)
	must.Len(t, 2, byRouter)
	_, err = Rows(strings.NewReader("no log\n"), ByRouter, 1)
	must.ErrorIs(t, err, routerlog.ErrNoLines)
}
