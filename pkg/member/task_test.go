package member

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	memberv1 "github.com/lavendershunt/lavendershunt/api/ls/member/v1"
)

// countedListener counts the bytes of its connections in both directions.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func h2Client() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}

// startTask serves a task on a loopback address until the test ends. It returns the task and a counter of the
// bytes that its server receives and sends.
func startTask(t *testing.T, vm string, seeds ...string) (*Task, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	bytes := &atomic.Int64{}
	task := NewTask(Options{
		Self:         Member{Instance: NewInstance(vm, time.Now()), VM: vm, Region: "north", Zone: "north-a", PeerAddress: listener.Addr().String()},
		Timing:       Timing{Probe: 20 * time.Millisecond, FailedAfter: 200 * time.Millisecond, FullSync: 100 * time.Millisecond},
		ProbeTimeout: 5 * time.Second, Client: h2Client(), Seed: 1, Seeds: seeds,
		Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	})
	mux := http.NewServeMux()
	mux.Handle(task.Handler())
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(countedListener{listener, bytes}) }()
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { defer close(finished); task.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-finished; _ = server.Close() })
	return task, bytes
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition was not met within 15 s")
}

func seesState(task *Task, instance string, state State) func() bool {
	return func() bool {
		for _, m := range task.Members() {
			if m.Instance == instance {
				return m.State == state
			}
		}
		return false
	}
}

// Guards against a transport that loses joins, leaving states or replaced instances.
func TestTask(t *testing.T) {
	a, _ := startTask(t, "entry-a")
	b, _ := startTask(t, "entry-b", a.Self().PeerAddress)
	c, _ := startTask(t, "entry-c", a.Self().PeerAddress)
	waitFor(t, seesState(b, c.Self().Instance, Alive))
	waitFor(t, seesState(c, b.Self().Instance, Alive))
	must.NoError(t, b.Leave(context.Background()))
	waitFor(t, seesState(c, b.Self().Instance, Leaving))
	old := c.Self().Instance
	must.NoError(t, c.ReplaceInstance(context.Background(), NewInstanceAfter(old, "entry-c", time.Now())))
	waitFor(t, seesState(a, c.Self().Instance, Alive))
	must.NotEq(t, old, c.Self().Instance)
	for _, m := range a.Members() {
		must.True(t, m.Instance != old || m.State == Failed)
	}
}

// Guards against a simulation that counts fewer bytes of framing than a real call takes.
func TestCallOverhead(t *testing.T) {
	a, bytes := startTask(t, "entry-a")
	from := NewInstance("entry-b", time.Now())
	ctx := context.Background()
	target := a.Self().Instance
	a.send(ctx, Action{Kind: ActionProbe, Address: a.Self().PeerAddress, Target: target})
	before := bytes.Load()
	const calls = 50
	for range calls {
		answered, _ := a.probe(ctx, a.Self().PeerAddress, target, nil)
		must.Eq(t, target, answered)
	}
	payload := proto.Size(&memberv1.ProbeRequest{From: from, Target: target}) + proto.Size(&memberv1.ProbeResponse{Instance: target})
	overhead := (int(bytes.Load()-before)/calls - payload) / 2
	t.Logf("framing per call and direction: %d bytes", overhead)
	must.LessEq(t, callOverheadBytes-packetBytes, overhead)
}
