package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	allRouters []*router
	tempDir    string
)

// stopAll ends the processes that were started and waits for their ends.
func stopAll() {
	for _, r := range allRouters {
		if r.command == nil {
			continue
		}
		r.signal(syscall.SIGKILL)
		select {
		case <-r.done:
		case <-time.After(5 * time.Second):
			fmt.Fprintf(os.Stderr, "%s doesn't end\n", r.name)
		}
	}
	if tempDir != "" {
		_ = os.RemoveAll(tempDir)
	}
}

// chaosOptions are the disturbances of runChaos.
type chaosOptions struct {
	// rate is the number of answers of which engines disturb one.
	rate int
	// cut cuts the links of one router after the other to all engines. signals is "all", "term" or empty.
	cut     bool
	signals string
	// silent makes the store silent for four seconds out of eight.
	silent bool
}

// sent is a request that a client has sent.
type sent struct {
	id, work, path, method string
	body                   uint64
	prefix                 string
	at                     time.Time
	closed                 time.Time
	status                 int
	lost                   string
}

// chaos sends requests of all kinds while engines answer in every way that the pages allow, and checks the rules that hold then. It is
// no case of the review: nothing was found with it.
type chaos struct {
	mu     sync.Mutex
	sent   map[string]*sent
	errors []string
	counts map[string]int
	n      int
}

func (x *chaos) errorf(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.errors = append(x.errors, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

const hostName = "desk.example"

func config(version int, keys ...string) map[string]any {
	route := func(name, kind, service string, attempts, timeout int, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": hostName, "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeout, "target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable, "target_gap_ms": 200}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("chat", "streaming", "desk", 2, 10000, true), route("once", "streaming", "desk", 1, 5000, false),
			route("assign", "unsafe", "rides", 1, 1000, false), route("status", "safe", "rides", 2, 1000, false),
		},
		"services": []any{
			map[string]any{"name": "desk", "health_path": "/healthz", "max_connections": 360, "engine": map[string]any{"slots": 64, "stride": 4}},
			map[string]any{"name": "rides", "health_path": "/healthz", "max_connections": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "org", "api_keys": keys, "prepaid": 100000000}},
	}
}

func runChaos(seed uint64, seconds int, o chaosOptions) {
	var err error
	tempDir, err = os.MkdirTemp("", "play")
	if err != nil {
		fail("%v", err)
	}
	s, err := startStore()
	if err != nil {
		fail("%v", err)
	}
	s.set("config", "main", config(1, "key"))
	var engines []*engine
	plain := strings.Fields("chunked unframed unframedreset cut cutchunk garbage reset close 500 404 extra extralate tail interim connclose silentclose early slow dribble shed shedclose shedlate")
	streams := strings.Fields("unframed unframedreset cut cutreset cutbetween garbage garbageevent dribble extra 500 reset close shed shedclose shedlate")
	for i := range 3 {
		for _, stream := range []bool{true, false} {
			service, list := "rides", plain
			if stream {
				service, list = "desk", streams
			}
			e, err := startEngine(s, fmt.Sprintf("i-%s%d", service, i), service, stream)
			if err != nil {
				fail("%v", err)
			}
			e.idle = time.Duration(100+rand.IntN(3000)) * time.Millisecond
			e.choose = func(*http.Request) string {
				if rand.IntN(o.rate) != 0 {
					return ""
				}
				return list[rand.IntN(len(list))]
			}
			engines = append(engines, e)
		}
	}
	m := svorkaMachine
	m.bootstrap = false
	var cuts []*links
	for i := range 3 {
		cuts = append(cuts, newLinks(s))
		allRouters = append(allRouters, newRouter(tempDir, fmt.Sprintf("vm%d", i), cuts[i].address(), m))
		allRouters[i].start()
	}
	defer stopAll()
	awaitReady(allRouters, 20*time.Second)
	x := &chaos{sent: map[string]*sent{}, counts: map[string]int{}}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var clients sync.WaitGroup
	for i := range 40 {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		clients.Go(func() { x.client(rng, end) })
	}
	if o.silent {
		go func() {
			for n := 0; time.Now().Before(end); n++ {
				s.setSilent(n%2 == 1)
				time.Sleep(4 * time.Second)
			}
			s.setSilent(false)
		}()
	}
	if o.cut {
		go func() {
			rng := rand.New(rand.NewPCG(seed, 777))
			for time.Now().Before(end) {
				l := cuts[rng.IntN(len(cuts))]
				l.setCut([]string{"refuse", "silent"}[rng.IntN(2)])
				time.Sleep(time.Duration(1000+rng.IntN(4000)) * time.Millisecond)
				l.setCut("")
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			}
		}()
	}
	if o.signals != "" {
		rng := rand.New(rand.NewPCG(seed, 999))
		for time.Now().Before(end) {
			r := allRouters[rng.IntN(len(allRouters))]
			kind := rng.IntN(4)
			if o.signals == "term" {
				kind = 2
			}
			switch kind {
			case 0:
				r.kill()
				r.start()
			case 1:
				r.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
				r.signal(syscall.SIGCONT)
			case 2:
				r.signal(syscall.SIGTERM)
				select {
				case <-r.done:
					if r.exit != nil {
						x.errorf("%s ended with %v", r.name, r.exit)
					}
				case <-time.After(9 * time.Second):
					x.errorf("%s doesn't end", r.name)
					r.kill()
				}
				r.start()
			case 3:
				r.signal(syscall.SIGHUP)
			}
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	x.check(engines, o.signals == "term")
	for _, r := range allRouters {
		select {
		case <-r.done:
			x.errorf("%s ended by itself: %v", r.name, r.exit)
		default:
		}
	}
	fmt.Println("counts", x.counts, "errors", len(x.errors))
	for i, e := range x.errors {
		if i < 25 {
			fmt.Println(e)
		}
	}
}

func (x *chaos) check(engines []*engine, onlyPlanned bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	runs := map[string][]run{}
	for _, e := range engines {
		e.mu.Lock()
		for _, r := range e.runs {
			runs[r.id] = append(runs[r.id], r)
		}
		e.mu.Unlock()
	}
	bad := func(format string, args ...any) { x.errors = append(x.errors, fmt.Sprintf(format, args...)) }
	for id, list := range runs {
		q := x.sent[id]
		if q == nil {
			bad("UNASKED: %+v", list[0])
			continue
		}
		for _, r := range list {
			if r.target != q.path || r.method != q.method || r.body != q.body && !(r.fault == "early" && r.body == 0) || r.tenant != "org" || r.key != "" || r.prefix != q.prefix {
				bad("UNASKED changed: sent %+v run %+v", q, r)
			}
			if !q.closed.IsZero() && r.at.Sub(q.closed) > 500*time.Millisecond {
				bad("GONE: closed %v run %v %+v", q.closed, r.at, r)
			}
		}
		if onlyPlanned && q.lost != "" {
			bad("LOST: %+v %+v", q, list)
		}
		unsafe := strings.HasPrefix(q.path, "/assign/") || strings.HasPrefix(q.path, "/once/")
		if unsafe && len(list) > 1 {
			bad("TWICE: %+v", list)
		}
		if unsafe && (q.status == 503 || q.status == 429 || q.status == 408 || q.status == 421) {
			bad("REFUSED: %+v %+v", q, list)
		}
	}
}

func (x *chaos) count(what string) {
	x.mu.Lock()
	x.counts[what]++
	x.mu.Unlock()
}

func (x *chaos) client(rng *rand.Rand, end time.Time) {
	var c net.Conn
	var reader *bufio.Reader
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		if c == nil {
			r := allRouters[rng.IntN(len(allRouters))]
			var err error
			if c, err = net.DialTimeout("tcp4", r.frontend, time.Second); err != nil {
				x.count("nodial")
				c = nil
				continue
			}
			reader = bufio.NewReader(c)
		}
		work, after := "", 0
		kind := []string{"chat", "once", "assign", "status"}[rng.IntN(4)]
		for try := 0; try < 2; try++ {
			keep, next, done := x.exchange(rng, c, reader, kind, &work, after)
			if !keep {
				_ = c.Close()
				c = nil
			}
			if done || kind != "chat" || next < 0 {
				break
			}
			after = next
			if c == nil {
				var err error
				if c, err = net.DialTimeout("tcp4", allRouters[rng.IntN(len(allRouters))].frontend, time.Second); err != nil {
					c = nil
					break
				}
				reader = bufio.NewReader(c)
			}
		}
	}
	if c != nil {
		_ = c.Close()
	}
}

// exchange sends one request and checks the answer. next is the last event that came of a stream that broke off, or -1.
func (x *chaos) exchange(rng *rand.Rand, c net.Conn, reader *bufio.Reader, kind string, work *string, after int) (keep bool, next int, done bool) {
	x.mu.Lock()
	x.n++
	id := fmt.Sprintf("r%06d", x.n)
	x.mu.Unlock()
	if *work == "" {
		*work = id
	}
	q := &sent{id: id, work: *work, path: "/" + kind + "/a%20b?x=1&y=" + id, method: "POST", at: time.Now()}
	if kind == "status" && rng.IntN(2) == 0 {
		q.method = "GET"
	}
	var body []byte
	if q.method == "POST" {
		n := rng.IntN(600)
		if rng.IntN(3) == 0 {
			n = rng.IntN(100_000)
		}
		body = bytes.Repeat([]byte(id), n/len(id)+1)[:n]
	}
	q.body = sum(body)
	stream := kind == "chat" || kind == "once"
	h := ""
	if stream {
		q.prefix = fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", rng.IntN(20))
		h = "Model: m\r\nToken-Usage: 1460,160\r\nPrefix-Hash: " + q.prefix + "\r\nX-Work: " + *work + "\r\n"
		if after > 0 {
			h += "Last-Event-Id: " + strconv.Itoa(after) + "\r\n"
		}
	}
	x.mu.Lock()
	x.sent[id] = q
	x.mu.Unlock()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: key\r\nTenant: forged\r\nPin-Ms: 5\r\n%s", q.method, q.path, hostName, id, map[bool]int{true: 5000, false: 1000}[stream], h)
	if q.method == "POST" {
		if rng.IntN(4) == 0 {
			text += "Transfer-Encoding: chunked\r\n\r\n"
			for rest := body; len(rest) > 0; {
				n := min(len(rest), 1+rng.IntN(20000))
				text += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			text += "0\r\n\r\n"
		} else {
			text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		}
	} else {
		text += "\r\n"
	}
	parts := []string{text}
	if rng.IntN(5) == 0 {
		parts = nil
		for i := 3; i > 1 && len(text) > 1; i-- {
			n := 1 + rng.IntN(len(text)-1)
			parts, text = append(parts, text[:n]), text[n:]
		}
		parts = append(parts, text)
	}
	for _, p := range parts {
		if _, err := c.Write([]byte(p)); err != nil {
			x.count("write failed")
			return false, -1, false
		}
	}
	leave := time.Duration(0)
	if rng.IntN(12) == 0 {
		leave = time.Duration(1+rng.IntN(150)) * time.Millisecond
		_ = c.SetReadDeadline(time.Now().Add(leave))
	} else {
		_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	}
	gone := func() {
		x.mu.Lock()
		q.closed = time.Now()
		x.mu.Unlock()
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		if leave == 0 && strings.Contains(err.Error(), "timeout") {
			x.errorf("no answer in 8 s: %+v", q)
		}
		gone()
		if leave == 0 {
			q.lost = err.Error()
		}
		x.count("no answer")
		return false, -1, false
	}
	if got := response.Header.Get("Request-Id"); got != id && got != "" {
		x.errorf("MIXED: answer to %s names %s", id, got)
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	x.mu.Lock()
	q.status = response.StatusCode
	x.counts[strconv.Itoa(response.StatusCode)]++
	x.mu.Unlock()
	signature := response.Header.Get("Response-Signature")
	if stream && response.StatusCode == 200 {
		want, last := "", after
		n := eventsOf(*work)
		for i := after + 1; i <= n; i++ {
			want += eventOf(*work, i)
		}
		if !strings.HasPrefix(want, string(data)) {
			x.errorf("ORDER: %s (%s after %d) got %q", id, kind, after, tail(data))
		}
		last += bytes.Count(data, []byte("\n\n"))
		if err == nil && string(data) != want {
			x.errorf("ORDER: %s (%s after %d) ends as whole after %d of %d: %q", id, kind, after, last, n, tail(data))
		}
		if err != nil {
			if leave == 0 {
				q.lost = err.Error()
			}
			x.count("stream broken")
			gone()
			return false, last, false
		}
		x.count("stream whole")
		return !response.Close, -1, true
	}
	if err != nil {
		gone()
		x.count("cut")
		return false, -1, false
	}
	switch {
	case response.StatusCode == 200 && (signature != "sig."+id || !bytes.Equal(data, bodyOf(id))):
		x.errorf("MIXED: %s got signature %q and %d bytes, want %d", id, signature, len(data), len(bodyOf(id)))
	case signature != "" && response.StatusCode != 200 && signature != fmt.Sprintf("sig%d.%s", response.StatusCode, id):
		x.errorf("MIXED: %s got %d with signature %q", id, response.StatusCode, signature)
	case signature == "" && response.StatusCode < 500 && response.StatusCode != 429:
		x.errorf("own answer %d to %s: %s", response.StatusCode, id, data)
	}
	return !response.Close, -1, true
}

func tail(b []byte) string { return string(b[max(0, len(b)-150):]) }
