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

// fakeLedger is an in-memory ledger with the operations that the commands use.
type fakeLedger struct {
	mu      sync.Mutex
	budgets map[budget.ID]*budget.Status
	// appliedIDs holds the ids of the applied operations.
	appliedIDs map[string]bool
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
	case l.appliedIDs[op.ID]:
	case op.Kind == budget.OpTopUp:
		status.ToppedUp += op.Tokens
	case op.Kind == budget.OpPrefer:
		status.Preference = op.Preference
	case op.Kind == budget.OpRelease:
		status.Grants = nil
	}
	l.appliedIDs[op.ID] = true
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

// fakeView is a fixed view of the fleet; the first member is the router itself.
type fakeView struct{ members []member.Member }

func (v *fakeView) Self() member.Member      { return v.members[0] }
func (v *fakeView) Members() []member.Member { return v.members }

// testServer is a router's admin API that works on an in-memory platform.
type testServer struct {
	t             *testing.T
	store         *memstore.Store
	ledger        *fakeLedger
	view          *fakeView
	config        *config.Store
	heldInstances *fakeHeldInstances
	logs          *memory.Handler
	url           string
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{
		t:      t,
		store:  memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1, Seed: 1}),
		ledger: &fakeLedger{budgets: map[budget.ID]*budget.Status{}, appliedIDs: map[string]bool{}},
		view:   &fakeView{members: []member.Member{{Instance: "entry-a1@1-aa", VM: "entry-a1", State: member.Alive}}},
		config: config.NewStore(), heldInstances: &fakeHeldInstances{}, logs: memory.New(),
	}
	logger := &log.Logger{Handler: s.logs, Level: log.InfoLevel}
	server := admin.NewServer(admin.Deps{
		Platform: s.store.Client("entry-a1"), Config: s.config, Ledger: s.ledger, Members: s.view,
		VMs: func() admin.VMList {
			vms, _ := s.store.Client("entry-a1").VMs(context.Background())
			return admin.VMList{VMs: vms, ReadAt: time.Now()}
		},
		ConfigAge:     func() time.Duration { return 3 * time.Second },
		HeldInstances: s.heldInstances, WitnessStatus: s.heldInstances.witnessStatus,
		OperatorKeys: []string{admin.HashKey(operatorKey)}, Now: time.Now, Log: logger,
	})
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	httpServer := httptest.NewServer(mux)
	t.Cleanup(httpServer.Close)
	s.url = strings.TrimPrefix(httpServer.URL, "http://")
	return s
}

// run executes a command line with the given key and returns the exit code, stdout and stderr.
func (s *testServer) run(key, line string) (int, string, string) {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	env := Env{Stdout: &stdout, Stderr: &stderr, HTTP: http.DefaultClient, Now: time.Now, Getenv: func(name string) string {
		return map[string]string{KeyVariable: key, AdminVariable: s.url}[name]
	}}
	code := Run(context.Background(), strings.Fields(line), env)
	return code, stdout.String(), stderr.String()
}

// mustRun requires that the command line succeeds, and returns stdout.
func (s *testServer) mustRun(line string) string {
	s.t.Helper()
	code, stdout, stderr := s.run(operatorKey, line)
	must.Eq(s.t, ExitOK, code, must.Sprint(line, stderr))
	return stdout
}

// mustFail requires that the command line fails with the exit code and that stderr contains the text.
func (s *testServer) mustFail(exit int, line, text string) {
	s.t.Helper()
	code, _, stderr := s.run(operatorKey, line)
	must.Eq(s.t, exit, code, must.Sprint(line, stderr))
	must.StrContains(s.t, stderr, text)
}

// Guards against commands that don't make the change they are for, and against -json output that is not JSON.
func TestCommands(t *testing.T) {
	s := newTestServer(t)
	s.mustRun("class create reply -target deadline -deadline 20s")
	s.mustRun("class change reply -deadline 10s")
	s.mustRun("organisation create velocar -default-class reply")
	class, found := s.config.Class("reply")
	must.True(t, found)
	must.Eq(t, config.Class{Name: "reply", Target: config.TargetDeadline, DeadlineMS: 10000, MaxOutputTokens: 1024}, class)

	var created createdKey
	must.NoError(t, json.Unmarshal([]byte(s.mustRun("key create -organisation velocar -budget main -json")), &created))
	key, found := s.config.Key(admin.HashKey(created.Key))
	must.True(t, found)
	must.Eq(t, "velocar", key.Organisation)
	must.StrNotContains(t, s.mustRun("key list"), created.Key)

	s.mustRun("budget create velocar/main -preference avoid-refusal")
	s.mustRun("budget topup velocar/main -tokens 500 -id invoice-1")
	s.mustRun("budget topup velocar/main -tokens 500 -id invoice-1")
	s.mustRun("budget prefer velocar/main -preference avoid-overspend")
	var all []budgetState
	must.NoError(t, json.Unmarshal([]byte(s.mustRun("budget status velocar/main -json")), &all))
	must.Eq(t, budgetState{Budget: "velocar/main", Preference: "avoid-overspend", ToppedUp: 500, Unallocated: 500, Grants: []grant{}}, all[0])

	for _, line := range []string{"class list", "class get reply", "organisation list", "vm list", "budget list velocar", "budget held velocar", "status", "drain"} {
		must.True(t, json.Valid([]byte(s.mustRun(line+" -json"))), must.Sprint(line))
		must.NotEq(t, "", s.mustRun(line))
	}
	s.mustRun("class delete reply")
	s.mustFail(ExitNotFound, "class get reply", "not found")
	_, found = s.config.Class("reply")
	must.False(t, found)
}

// Guards against wrong exit codes, and against errors that don't name the field.
func TestErrors(t *testing.T) {
	s := newTestServer(t)
	s.mustFail(ExitUsage, "class create reply", "-target is required")
	s.mustFail(ExitUsage, "class create reply -target deadline", "deadline_ms: 0 is out of range")
	s.mustFail(ExitUsage, "class create Reply! -target whole", "name: \"Reply!\" is not allowed")
	s.mustFail(ExitUsage, "class make reply", "unknown command \"class make\"")
	s.mustFail(ExitUsage, "class create", "<name> is required")
	s.mustFail(ExitUsage, "budget topup velocar/main -tokens 5", "-id is required")
	s.mustFail(ExitUsage, "budget topup velocar/main -tokens -5 -id x", "tokens: -5 is out of range")
	s.mustFail(ExitUsage, "budget status velocar extra", "unexpected argument")
	s.mustFail(ExitNotFound, "budget topup velocar/main -tokens 5 -id x", "does not exist")
	s.mustRun("budget create velocar/main")
	s.mustFail(ExitConflict, "budget create velocar/main", "exists already")
	code, _, stderr := s.run("wrong", "status")
	must.Eq(t, ExitDenied, code, must.Sprint(stderr))
	_, err := s.store.Inject(memstore.Fault{Kind: memstore.FaultDown})
	must.NoError(t, err)
	s.mustFail(ExitUnavailable, "class create reply -target whole", "unavailable")
}

// Guards against the release of tokens that a router may still spend, and against a blocked withdrawal that no command
// shows.
func TestHeldTokensAndWithdrawal(t *testing.T) {
	s := newTestServer(t)
	s.store.SetVMs([]platform.VM{
		{Name: "entry-a1", Role: platform.RoleEntry, State: platform.VMLive},
		{Name: "entry-b1", Role: platform.RoleEntry, State: platform.VMLive},
		{Name: "engine-1", Role: platform.RoleEngine, State: platform.VMLive, Models: []string{"m"}},
		{Name: "engine-2", Role: platform.RoleEngine, State: platform.VMLive, Models: []string{"m"}},
	})
	id := budget.ID{Organisation: "velocar", Budget: "main"}
	s.ledger.budgets[id] = &budget.Status{ID: id, ToppedUp: 100, Grants: []budget.HolderGrant{{Instance: "entry-b1@5-cc.1", Tokens: 40}}}
	s.view.members = append(s.view.members, member.Member{Instance: "entry-b1@5-cc", VM: "entry-b1", State: member.Unreachable})
	release := "budget release velocar/main -holder entry-b1@5-cc.1"
	s.mustFail(ExitFailed, release, "the router is unreachable")
	// The list may wrongly report the VM as gone; a router that is not failed in the membership keeps its tokens.
	must.NoError(t, s.store.SetVMState("entry-b1", platform.VMGone, nil))
	s.mustFail(ExitFailed, release, "the router is unreachable")
	must.NoError(t, s.store.SetVMState("entry-b1", platform.VMLive, nil))
	s.view.members[1].State = member.Failed
	s.mustFail(ExitFailed, release, "entry-b1 is live in the VM list")
	must.StrContains(t, s.mustRun("budget held velocar"), "kept: VM entry-b1 is live")
	must.NoError(t, s.store.SetVMState("entry-b1", platform.VMGone, nil))
	must.StrContains(t, s.mustRun("budget held velocar"), "may be released")
	// While the instance has a record, its journal may have bills that only closing the instance settles.
	record, err := s.store.Client("test").Put(t.Context(), instance.Key("entry-b1@5-cc.1"), []byte("{}"), 0)
	must.NoError(t, err)
	s.mustFail(ExitFailed, release, "use budget release -instance entry-b1@5-cc.1")
	must.NoError(t, s.store.Client("test").Delete(t.Context(), record.Key, record.Revision))
	s.mustRun(release)

	must.StrNotContains(t, s.mustRun("vm leave engine-1 -in 15m"), "blocked")
	must.StrContains(t, s.mustRun("vm leave engine-2"), "blocked: no other endpoint for model m")
	must.StrContains(t, s.mustRun("drain"), "blocked: no other endpoint for model m")
	must.StrContains(t, s.mustRun("vm leave engine-11"), "the VM list has no VM engine-11")
	s.mustRun("vm stay engine-1")
	must.StrContains(t, s.mustRun("status"), "confirmed by the platform 3s ago")
	must.StrContains(t, s.mustRun("status"), "engine-2  engine  live, marked leaving")
	must.StrNotContains(t, s.mustRun("drain"), "blocked")
}
