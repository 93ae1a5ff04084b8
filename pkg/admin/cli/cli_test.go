package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/admin"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

const operatorKey = "ls_test-operator"

// fakeLedger is a ledger with just enough behaviour for the commands.
type fakeLedger struct {
	mu      sync.Mutex
	budgets map[budget.ID]*budget.Status
	done    map[string]bool
}

func (l *fakeLedger) Apply(_ context.Context, _ string, ops []budget.Op) ([]budget.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	results := make([]budget.Result, len(ops))
	for i, op := range ops {
		results[i] = budget.Result{Code: l.apply(op)}
	}
	return results, nil
}

func (l *fakeLedger) apply(op budget.Op) budget.Code {
	status, known := l.budgets[op.Budget]
	switch {
	case op.Kind == budget.OpCreate && known:
		return budget.CodeExists
	case op.Kind == budget.OpCreate:
		l.budgets[op.Budget] = &budget.Status{ID: op.Budget, Preference: op.Preference}
	case !known:
		return budget.CodeBudgetUnknown
	case l.done[op.ID]:
	case op.Kind == budget.OpTopUp:
		status.ToppedUp += op.Tokens
	case op.Kind == budget.OpPrefer:
		status.Preference = op.Preference
	case op.Kind == budget.OpRelease:
		status.Grants = nil
	}
	l.done[op.ID] = true
	return budget.CodeOK
}

func (l *fakeLedger) Read(_ context.Context, organisation string) ([]budget.Status, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []budget.Status
	for id, status := range l.budgets {
		if id.Organisation == organisation {
			all = append(all, *status)
		}
	}
	return all, nil
}

type fleet struct{ members []member.Member }

func (f *fleet) Self() member.Member      { return f.members[0] }
func (f *fleet) Members() []member.Member { return f.members }

// bench is a router's admin API over a stand-in platform.
type bench struct {
	t      *testing.T
	store  *memstore.Store
	ledger *fakeLedger
	fleet  *fleet
	config *config.Store
	holds  *fakeHolds
	logs   *memory.Handler
	url    string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{
		t:      t,
		store:  memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1, Seed: 1}),
		ledger: &fakeLedger{budgets: map[budget.ID]*budget.Status{}, done: map[string]bool{}},
		fleet:  &fleet{members: []member.Member{{Instance: "entry-a1@1-aa", VM: "entry-a1", State: member.Alive}}},
		config: config.NewStore(), holds: &fakeHolds{}, logs: memory.New(),
	}
	logger := &log.Logger{Handler: b.logs, Level: log.InfoLevel}
	server := admin.NewServer(admin.Deps{
		Platform: b.store.Client("entry-a1"), Config: b.config, Ledger: b.ledger, Members: b.fleet,
		VMs: func() admin.VMList {
			vms, _ := b.store.Client("entry-a1").VMs(context.Background())
			return admin.VMList{VMs: vms, ReadAt: time.Now()}
		},
		ConfigAge:     func() time.Duration { return 3 * time.Second },
		HeldInstances: b.holds, WitnessStatus: b.holds.witnessing,
		OperatorKeys: []string{admin.HashKey(operatorKey)}, Now: time.Now, Log: logger,
	})
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	httpServer := httptest.NewServer(mux)
	t.Cleanup(httpServer.Close)
	b.url = strings.TrimPrefix(httpServer.URL, "http://")
	return b
}

// run executes a command line and returns the exit code and both outputs.
func (b *bench) run(key, line string) (int, string, string) {
	b.t.Helper()
	var stdout, stderr bytes.Buffer
	env := Env{Stdout: &stdout, Stderr: &stderr, HTTP: http.DefaultClient, Now: time.Now, Getenv: func(name string) string {
		return map[string]string{KeyVariable: key, AdminVariable: b.url}[name]
	}}
	code := Run(context.Background(), strings.Fields(line), env)
	return code, stdout.String(), stderr.String()
}

func (b *bench) ok(line string) string {
	b.t.Helper()
	code, stdout, stderr := b.run(operatorKey, line)
	must.Eq(b.t, ExitOK, code, must.Sprint(line, stderr))
	return stdout
}

func (b *bench) fails(exit int, line, text string) {
	b.t.Helper()
	code, _, stderr := b.run(operatorKey, line)
	must.Eq(b.t, exit, code, must.Sprint(line, stderr))
	must.StrContains(b.t, stderr, text)
}

// Guards against commands that don't do what they say, and against -json output that is not JSON.
func TestCommands(t *testing.T) {
	b := newBench(t)
	b.ok("class create reply -target deadline -deadline 20s")
	b.ok("class change reply -deadline 10s")
	b.ok("organisation create velocar -default-class reply")
	class, found := b.config.Class("reply")
	must.True(t, found)
	must.Eq(t, config.Class{Name: "reply", Target: config.TargetDeadline, DeadlineMS: 10000, MaxOutputTokens: 1024}, class)

	var created createdKey
	must.NoError(t, json.Unmarshal([]byte(b.ok("key create -organisation velocar -budget main -json")), &created))
	key, found := b.config.Key(admin.HashKey(created.Key))
	must.True(t, found)
	must.Eq(t, "velocar", key.Organisation)
	must.StrNotContains(t, b.ok("key list"), created.Key)

	b.ok("budget create velocar/main -preference avoid-refusal")
	b.ok("budget topup velocar/main -tokens 500 -id invoice-1")
	b.ok("budget topup velocar/main -tokens 500 -id invoice-1")
	b.ok("budget prefer velocar/main -preference avoid-overspend")
	var all []books
	must.NoError(t, json.Unmarshal([]byte(b.ok("budget status velocar/main -json")), &all))
	must.Eq(t, books{Budget: "velocar/main", Preference: "avoid-overspend", ToppedUp: 500, Unallocated: 500, Grants: []grant{}}, all[0])

	for _, line := range []string{"class list", "class get reply", "organisation list", "vm list", "budget list velocar", "budget held velocar", "status", "drain"} {
		must.True(t, json.Valid([]byte(b.ok(line+" -json"))), must.Sprint(line))
		must.NotEq(t, "", b.ok(line))
	}
	b.ok("class delete reply")
	b.fails(ExitNotFound, "class get reply", "not found")
	_, found = b.config.Class("reply")
	must.False(t, found)
}

// Guards against wrong exit codes, and against errors that don't name the field.
func TestErrors(t *testing.T) {
	b := newBench(t)
	b.fails(ExitUsage, "class create reply", "-target is required")
	b.fails(ExitUsage, "class create reply -target deadline", "deadline_ms: 0 is out of range")
	b.fails(ExitUsage, "class create Reply! -target whole", "name: \"Reply!\" is not allowed")
	b.fails(ExitUsage, "class make reply", "unknown command \"class make\"")
	b.fails(ExitUsage, "class create", "<name> is missing")
	b.fails(ExitUsage, "budget topup velocar/main -tokens 5", "-id is required")
	b.fails(ExitUsage, "budget topup velocar/main -tokens -5 -id x", "tokens: -5 is out of range")
	b.fails(ExitUsage, "budget status velocar extra", "unexpected argument")
	b.fails(ExitNotFound, "budget topup velocar/main -tokens 5 -id x", "does not exist")
	b.ok("budget create velocar/main")
	b.fails(ExitConflict, "budget create velocar/main", "exists already")
	code, _, stderr := b.run("wrong", "status")
	must.Eq(t, ExitDenied, code, must.Sprint(stderr))
	_, err := b.store.Inject(memstore.Fault{Kind: memstore.FaultDown})
	must.NoError(t, err)
	b.fails(ExitUnavailable, "class create reply -target whole", "unavailable")
}

// Guards against the release of tokens that a router may still spend, and against a hidden blocked withdrawal.
func TestHeldTokensAndWithdrawal(t *testing.T) {
	b := newBench(t)
	b.store.SetVMs([]platform.VM{
		{Name: "entry-a1", Role: platform.RoleEntry, State: platform.VMLive},
		{Name: "entry-b1", Role: platform.RoleEntry, State: platform.VMLive},
		{Name: "engine-1", Role: platform.RoleEngine, State: platform.VMLive, Models: []string{"m"}},
		{Name: "engine-2", Role: platform.RoleEngine, State: platform.VMLive, Models: []string{"m"}},
	})
	id := budget.ID{Organisation: "velocar", Budget: "main"}
	b.ledger.budgets[id] = &budget.Status{ID: id, ToppedUp: 100, Grants: []budget.HolderGrant{{Instance: "entry-b1@5-cc.1", Tokens: 40}}}
	b.fleet.members = append(b.fleet.members, member.Member{Instance: "entry-b1@5-cc", VM: "entry-b1", State: member.Unreachable})
	release := "budget release velocar/main -holder entry-b1@5-cc.1"
	b.fails(ExitFailed, release, "the router is unreachable")
	// The list may wrongly call the VM gone; a router that is known to run keeps its tokens.
	must.NoError(t, b.store.SetVMState("entry-b1", platform.VMGone, nil))
	b.fails(ExitFailed, release, "the router is unreachable")
	must.NoError(t, b.store.SetVMState("entry-b1", platform.VMLive, nil))
	b.fleet.members[1].State = member.Failed
	b.fails(ExitFailed, release, "entry-b1 is live in the VM list")
	must.StrContains(t, b.ok("budget held velocar"), "kept: VM entry-b1 is live")
	must.NoError(t, b.store.SetVMState("entry-b1", platform.VMGone, nil))
	must.StrContains(t, b.ok("budget held velocar"), "may be released")
	// While the instance has a record, its journal may have bills that only a closing settles.
	record, err := b.store.Client("test").Put(t.Context(), instance.Key("entry-b1@5-cc.1"), []byte("{}"), 0)
	must.NoError(t, err)
	b.fails(ExitFailed, release, "use budget release -instance entry-b1@5-cc.1")
	must.NoError(t, b.store.Client("test").Delete(t.Context(), record.Key, record.Revision))
	b.ok(release)

	must.StrNotContains(t, b.ok("vm leave engine-1 -in 15m"), "blocked")
	must.StrContains(t, b.ok("vm leave engine-2"), "blocked: no other endpoint for model m")
	must.StrContains(t, b.ok("drain"), "blocked: no other endpoint for model m")
	must.StrContains(t, b.ok("vm leave engine-11"), "the VM list has no VM engine-11")
	b.ok("vm stay engine-1")
	must.StrContains(t, b.ok("status"), "confirmed by the platform 3s ago")
	must.StrContains(t, b.ok("status"), "engine-2  engine  live, marked leaving")
	must.StrNotContains(t, b.ok("drain"), "blocked")
}
