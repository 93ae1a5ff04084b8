package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of velocar-cluj: requests a second by kind, machines, and the bounds of the rules.
const (
	streamsPerSecond = 15.8 + 11.7 + 23.2
	unsafePerSecond  = 12.7
	safePerSecond    = 8.0
	siteMachines     = 8
	contact          = 3 * time.Second
	minRequesters    = 7
	// devices is the number of requesters. Each sends a request in devices / requests a second, which is 70 s.
	devices = 5000
)

// attempt is a request on a new channel.
type attempt struct {
	machine, id string
	at          time.Duration
	// answered is the time of the answer's head, 0 if there was none within two seconds.
	answered time.Duration
	status   int
	problem  string
}

// idleCase sends the traffic of a small site. It comes from many requesters that send a request every 70 s. Each opens a new channel for
// it, because the one before has been idle for more than four fifths of idle_timeout_ms, and closes that one then. With trouble all
// machines but one are lost for good.
type idleCase struct {
	began time.Time
	mu    sync.Mutex
	tries []attempt
	ready map[string][]time.Duration
	idle  map[string]*atomic.Int64
	gone  map[string]bool
	next  int
	// open holds the channel of each requester.
	open map[int]net.Conn
}

func runIdle(trouble bool, dir string, seconds int) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < devices+1000 {
		fail("this command needs %d descriptors for its own ends of the channels and has %d: %v", devices+1000, limit.Cur, err)
	}
	var err error
	if tempDir, err = os.MkdirTemp("", "play"); err != nil {
		fail("%v", err)
	}
	defer stopAll()
	s, err := startStore()
	if err != nil {
		fail("%v", err)
	}
	s.set("config", "main", config(1, "key"))
	for service, n := range clujServers {
		for i := range n {
			e, err := startEngine(s, fmt.Sprintf("i-%s%d", service, i), service, service == "desk")
			if err != nil {
				fail("%v", err)
			}
			e.work, e.eventPause = 20*time.Millisecond, 2*time.Millisecond
		}
	}
	x := &idleCase{ready: map[string][]time.Duration{}, idle: map[string]*atomic.Int64{}, gone: map[string]bool{}, open: map[int]net.Conn{}}
	m := machine{zone: "praha-sever", memoryMB: 134, maxFDs: 4100, graceS: 8, bootstrap: true}
	for i := range siteMachines {
		r := newRouter(tempDir, fmt.Sprintf("front-%d", i), s.address(), m)
		x.idle[r.name] = &atomic.Int64{}
		allRouters = append(allRouters, r)
		r.start()
	}
	awaitReady(allRouters, 20*time.Second)
	time.Sleep(4 * time.Second) // All machines know each other.
	x.began = time.Now()
	end := x.began.Add(time.Duration(seconds) * time.Second)
	for _, r := range allRouters {
		go x.watchReady(r, end)
	}
	if trouble {
		time.AfterFunc(3*time.Second, func() {
			for _, r := range allRouters[1:] {
				x.mu.Lock()
				x.gone[r.name] = true
				x.mu.Unlock()
				r.kill()
			}
		})
	}
	perSecond := streamsPerSecond + unsafePerSecond + safePerSecond
	gap := time.Duration(float64(time.Second) / perSecond)
	addresses := x.resolve()
	resolved := time.Now()
	for time.Now().Before(end) && !x.isBroken() {
		if time.Since(resolved) > 2*time.Second {
			if found := x.resolve(); len(found) > 0 {
				addresses = found
			}
			resolved = time.Now()
		}
		var candidates []*router
		for _, r := range allRouters {
			for _, a := range addresses {
				x.mu.Lock()
				if a == r.frontend && !x.gone[r.name] {
					candidates = append(candidates, r)
				}
				x.mu.Unlock()
			}
		}
		if len(candidates) > 0 {
			go x.request(candidates[rand.IntN(len(candidates))], rand.Float64()*perSecond)
		}
		time.Sleep(gap)
	}
	time.Sleep(2500 * time.Millisecond)
	x.finish(dir)
}

// resolve asks the machines where to connect.
func (x *idleCase) resolve() []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, r := range allRouters {
		response, err := client.Get("http://" + r.directory + "/resolve?name=" + hostName + "&region=cz-stred&zone=praha-sever")
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		_ = response.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			return body.Addresses
		}
	}
	return nil
}

// watchReady asks a machine once a second whether it is ready, on one channel, and records the times at which it says so.
func (x *idleCase) watchReady(r *router, end time.Time) {
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(end) {
		response, err := client.Get("http://" + r.ready + "/readyz")
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				x.mu.Lock()
				x.ready[r.name] = append(x.ready[r.name], time.Since(x.began))
				x.mu.Unlock()
			}
		}
		time.Sleep(time.Second)
	}
}

// request sends one request on a new channel and leaves the channel to the machine.
func (x *idleCase) request(r *router, kind float64) {
	x.mu.Lock()
	x.next++
	id, device := fmt.Sprintf("r%06d", x.next), x.next%devices
	if old := x.open[device]; old != nil {
		_ = old.Close()
		delete(x.open, device)
	}
	x.mu.Unlock()
	a := attempt{machine: r.name, id: id, at: time.Since(x.began)}
	record := func() {
		x.mu.Lock()
		x.tries = append(x.tries, a)
		x.mu.Unlock()
	}
	c, err := net.DialTimeout("tcp4", r.frontend, time.Second)
	if err != nil {
		a.problem = err.Error()
		record()
		return
	}
	x.mu.Lock()
	x.open[device] = c
	x.mu.Unlock()
	defer c.Close()
	path, headers := "/status/x", ""
	switch {
	case kind < streamsPerSecond:
		path, headers = "/chat/x", "Model: m\r\nToken-Usage: 1460,160\r\nPrefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Work: "+id+"\r\n"
	case kind < streamsPerSecond+unsafePerSecond:
		path = "/assign/x"
	}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nApi-Key: key\r\n%sContent-Length: 4\r\n\r\nbody", path, hostName, id, headers)
	reader := bufio.NewReader(c)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		a.problem = err.Error()
		record()
		return
	}
	a.answered, a.status = time.Since(x.began), response.StatusCode
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		a.problem = err.Error()
	}
	record()
	if err != nil || response.Close {
		return
	}
	x.idle[r.name].Add(1)
	defer x.idle[r.name].Add(-1)
	_ = c.SetDeadline(time.Time{})
	_, _ = reader.ReadByte() // Returns when the machine closes the channel.
}

// gap is a time in which a machine that says it is ready takes no new channel.
type gap struct {
	machine    string
	from, to   time.Duration
	requesters int
	readyTimes int
}

// longestGap returns the longest time between two answers on new channels of a machine that isn't lost, with the attempts in it.
func (x *idleCase) longestGap() gap {
	x.mu.Lock()
	defer x.mu.Unlock()
	longest := gap{}
	for _, r := range allRouters {
		if x.gone[r.name] {
			continue
		}
		last := time.Duration(0)
		var tries []attempt
		for _, a := range x.tries {
			if a.machine != r.name {
				continue
			}
			if a.answered == 0 {
				tries = append(tries, a)
				continue
			}
			last = max(last, a.at)
		}
		g := gap{machine: r.name, from: last, to: last}
		for _, a := range tries {
			if a.at > last {
				g.requesters++
				g.to = max(g.to, a.at)
			}
		}
		for _, at := range x.ready[r.name] {
			if at > g.from && at < g.to {
				g.readyTimes++
			}
		}
		if g.to-g.from > longest.to-longest.from {
			longest = g
		}
	}
	return longest
}

// isBroken reports whether the rule is broken: a machine that says it is ready takes no new channel for the contact time, while seven
// requesters or more try.
func (x *idleCase) isBroken() bool {
	g := x.longestGap()
	return g.to-g.from > contact+2*time.Second && g.requesters >= minRequesters && g.readyTimes >= 3
}

// finish writes the record and ends the process with the result.
func (x *idleCase) finish(dir string) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fail("%v", err)
	}
	x.mu.Lock()
	for _, a := range x.tries {
		fmt.Fprintf(f, "%8.3f %s to %s: status %d, answered at %.3f %s\n", a.at.Seconds(), a.id, a.machine, a.status, a.answered.Seconds(), a.problem)
	}
	for name, times := range x.ready {
		fmt.Fprintf(f, "%s says it is ready at", name)
		for _, at := range times {
			fmt.Fprintf(f, " %.1f", at.Seconds())
		}
		fmt.Fprintln(f)
	}
	x.mu.Unlock()
	g, broken := x.longestGap(), x.isBroken()
	text := fmt.Sprintf("longest time without a new channel: %s from %.1f s to %.1f s, %d requesters tried, ready %d times; idle channels open there: %d; broken: %v\n",
		g.machine, g.from.Seconds(), g.to.Seconds(), g.requesters, g.readyTimes, func() int64 {
			if n := x.idle[g.machine]; n != nil {
				return n.Load()
			}
			return 0
		}(), broken)
	fmt.Fprint(f, text)
	fmt.Print(text)
	_ = f.Close()
	stopAll()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}
