package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/admin"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
	"github.com/lavendershunt/lavendershunt/pkg/service"
	"github.com/lavendershunt/lavendershunt/pkg/settings"
)

const (
	callerKey   = "caller-key"
	operatorKey = "operator-key"
	testModel   = "demo"
	// eventuallyTimeout bounds every wait for a condition. It is far above the time needed, so that the tests also
	// pass on a slow machine.
	eventuallyTimeout = 20 * time.Second
)

// fleet is a deployment in one process. Its parts use real sockets on loopback addresses that no other fleet uses.
type fleet struct {
	t               *testing.T
	subnet          string
	hostCount       int
	store           *memstore.Store
	platformAddress string
	engines         []*engine.Engine
	services        []*service.Service
	vms             []platform.VM
	routers         []*runningRouter
}

// runningRouter is a Router whose Run has been started. stop ends the context of Run, and runResult receives its error.
type runningRouter struct {
	*Router
	caller    string
	stop      context.CancelFunc
	runResult chan error
}

var subnetCount atomic.Int64

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, store: memstore.New(memstore.Options{}),
		// The process id gives test binaries that run at the same time different subnets.
		subnet: fmt.Sprintf("127.%d.%d", 10+os.Getpid()%240, subnetCount.Add(1)),
	}
	f.platformAddress = f.serve("platform", memstore.NewServer(f.store, -1).Handle)
	f.put(config.ClassPrefix+"briefing", config.Class{Name: "briefing", Target: config.TargetWhole, MaxOutputTokens: 64})
	f.put(config.ClassPrefix+"ride", config.Class{Name: "ride", Target: config.TargetWhole, MaxOutputTokens: 1, NonIdempotent: true})
	f.put(config.OrganisationPrefix+"velocar", config.Organisation{ID: "velocar", DefaultClass: "briefing"})
	sum := sha256.Sum256([]byte(callerKey))
	hash := hex.EncodeToString(sum[:])
	f.put(config.KeyPrefix+hash, config.Key{SHA256: hash, Organisation: "velocar", Budget: "main"})
	return f
}

// nextHost returns an address that no other part of the fleet uses.
func (f *fleet) nextHost() string {
	f.hostCount++
	return fmt.Sprintf("%s.%d", f.subnet, f.hostCount)
}

func (f *fleet) serve(name string, handle fasthttp.RequestHandler) string {
	listener, err := net.Listen("tcp", f.nextHost()+":7000")
	must.NoError(f.t, err)
	server := standin.NewServer(name, handle, 4<<20)
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func (f *fleet) put(key string, value any) {
	data, err := json.Marshal(value)
	must.NoError(f.t, err)
	_, err = f.store.Client("test").Put(f.t.Context(), key, data, 0)
	must.NoError(f.t, err)
}

func (f *fleet) addVM(vm platform.VM) {
	vm.Region, vm.State = "r", platform.VMLive
	f.vms = append(f.vms, vm)
	f.store.SetVMs(f.vms)
}

func (f *fleet) startEngine(change func(*engine.Config)) *engine.Engine {
	c := engine.DefaultConfig(testModel)
	c.TokenTime, c.PrefillTime = time.Millisecond, 0
	if change != nil {
		change(&c)
	}
	e, err := engine.New(c)
	must.NoError(f.t, err)
	f.t.Cleanup(e.Close)
	f.engines = append(f.engines, e)
	name := fmt.Sprintf("engine%d", len(f.engines))
	f.addVM(platform.VM{
		Name: name, Zone: "a", Role: platform.RoleEngine, Address: f.serve(name, e.Handle),
		Models: []string{testModel}, BytesPerToken: 4,
	})
	return e
}

func (f *fleet) startService(c service.Config) *service.Service {
	s := service.New(c)
	f.services = append(f.services, s)
	name := fmt.Sprintf("service%d", len(f.services))
	f.addVM(platform.VM{Name: name, Zone: "a", Role: platform.RoleService, Address: f.serve(name, s.Handle), Service: "booking"})
	return s
}

// startRouters starts n routers, alternating between zones a, b and c, and waits until all are ready.
func (f *fleet) startRouters(n int) {
	for range n {
		f.startRouter()
	}
	for _, r := range f.routers {
		f.eventually("router is ready", func() bool {
			_, err := r.accounting.ledger.readyClient()
			return r.Router.config.Loaded() && err == nil && len(r.vms.Current().VMs) == len(f.vms) &&
				r.aliveCount() == len(f.routers)
		})
	}
}

// aliveCount returns the number of routers that are alive in this router's member list, including itself.
func (r *runningRouter) aliveCount() int {
	n := 0
	for _, m := range r.members.Members() {
		if m.State == member.Alive {
			n++
		}
	}
	return n
}

func (f *fleet) startRouter() *runningRouter {
	i := len(f.routers) + 1
	host := f.nextHost()
	s := settings.Default()
	s.VM, s.Region, s.Zone = fmt.Sprintf("entry%d", i), "r", string(rune('a'+(i-1)%3))
	s.Listen = settings.Listen{Caller: host + ":8080", Peer: host + ":8081", Admin: host + ":8082"}
	s.Advertise = settings.Advertise{Caller: s.Listen.Caller, Peer: s.Listen.Peer}
	s.Platform.Address = f.platformAddress
	s.Intervals.VMList = settings.Duration(100 * time.Millisecond)
	s.Intervals.Probe = settings.Duration(100 * time.Millisecond)
	s.Intervals.AddressTTL = settings.Duration(200 * time.Millisecond)
	s.OperatorKeys = []string{admin.HashKey(operatorKey)}
	s.Log.Level = "error"
	f.addVM(platform.VM{Name: s.VM, Zone: s.Zone, Role: platform.RoleEntry, Address: s.Listen.Caller, PeerAddress: s.Listen.Peer})
	r, err := New(s)
	must.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	started := &runningRouter{Router: r, caller: s.Listen.Caller, stop: stop, runResult: make(chan error, 1)}
	go func() { started.runResult <- r.Run(ctx) }()
	f.t.Cleanup(stop)
	f.routers = append(f.routers, started)
	return started
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(eventuallyTimeout), wait.Gap(10*time.Millisecond)), must.Sprint(what))
}

func (f *fleet) topUp(tokens budget.Tokens) {
	id := budget.ID{Organisation: "velocar", Budget: "main"}
	results, err := f.routers[0].accounting.ledger.Apply(f.t.Context(), id.Organisation, []budget.Op{
		{ID: "create-main", Kind: budget.OpCreate, Budget: id, Preference: budget.AvoidOverspend},
		{ID: "top-up-1", Kind: budget.OpTopUp, Budget: id, Tokens: tokens},
	})
	must.NoError(f.t, err)
	for _, r := range results {
		must.Eq(f.t, budget.CodeOK, r.Code)
	}
}

func (f *fleet) budgetStatus() budget.Status { return f.budgetStatusAt(0) }

func (f *fleet) budgetStatusAt(router int) budget.Status {
	all, err := f.routers[router].accounting.ledger.Read(f.t.Context(), "velocar")
	must.NoError(f.t, err)
	must.Len(f.t, 1, all)
	return all[0]
}

// answer is an HTTP response to a caller.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) failure(t *testing.T) failureDetail {
	var body struct {
		Error failureDetail `json:"error"`
	}
	must.NoError(t, json.Unmarshal(a.body, &body))
	return body.Error
}

type failureDetail struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

func (f *fleet) get(router int, path string) string {
	return string(f.sendRequest(f.newRequest(http.MethodGet, router, path, "")).body)
}

func (f *fleet) newRequest(method string, router int, path, body string) *http.Request {
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.routers[router].caller+path, bytes.NewReader([]byte(body)))
	must.NoError(f.t, err)
	return req
}

func (f *fleet) post(router int, path, class, key, body string) answer {
	f.t.Helper()
	req := f.newRequest(http.MethodPost, router, path, body)
	req.Header.Set("Content-Type", "application/json")
	if class != "" {
		req.Header.Set("X-LS-Class", class)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return f.sendRequest(req)
}

func (f *fleet) sendRequest(req *http.Request) answer {
	f.t.Helper()
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	must.NoError(f.t, err)
	return answer{status: resp.StatusCode, header: resp.Header, body: data}
}

func chatBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":32,"messages":[{"role":"user","content":%q}]}`, testModel, stream, prompt)
}

// completionText returns the text of a chat completion that was not streamed.
func (a answer) completionText(t *testing.T) string {
	var body struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	must.NoError(t, json.Unmarshal(a.body, &body))
	must.Len(t, 1, body.Choices, must.Sprintf("answer %s", a.body))
	return body.Choices[0].Message.Content
}
