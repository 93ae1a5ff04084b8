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
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// dose says how much of a disturbance of engines there is.
type dose struct {
	// faults are drawn from evenly.
	faults []string
	// engines says how many engines of a service are disturbed, share which part of their answers, length how long at a time, and times
	// how often, with calm seconds in between.
	engines map[string]int
	share   float64
	length  time.Duration
	times   int
}

const (
	firstDisturbance = 4 * time.Second
	calm             = 3 * time.Second
	// sharedPrompts is the number of prompts that requests share.
	sharedPrompts = 58
)

// fault returns how an engine's answer at the time after the start of the traffic is disturbed, "" if it isn't.
func (d dose) fault(at time.Duration) string {
	since := at - firstDisturbance
	if period := d.length + calm; since < 0 || since > time.Duration(d.times)*period || since%period > d.length || rand.Float64() >= d.share {
		return ""
	}
	return d.faults[rand.IntN(len(d.faults))]
}

// seconds returns the length of the case: some calm seconds follow the last disturbance.
func (d dose) seconds() time.Duration {
	return firstDisturbance + time.Duration(d.times)*(d.length+calm) + calm
}

// svorkaServers and clujServers are the numbers of engines and plain servers of svorka-sit and velocar-cluj.
var (
	svorkaServers = map[string]int{"desk": 9, "rides": 3}
	clujServers   = map[string]int{"desk": 12, "rides": 3}
)

// Requests a second of svorka-sit by path: two kinds of streams that may be resumed, one that may not, reservations and lookups.
var svorkaRates = map[string]float64{"chat": 10.3 + 22.6, "once": 8.71, "assign": 10.4, "status": 8}

// outcome is what a requester got for one request.
type outcome struct {
	id, path, router string
	first            string
	at, ended        time.Duration
	status           int
	signature        string
	encoding         string
	body             string
	whole            bool
	problem          string
}

// faultyCase sends the traffic of svorka-sit while engines are disturbed for some seconds.
type faultyCase struct {
	began    time.Time
	mu       sync.Mutex
	next     int
	outcomes []outcome
}

// runFaulty plays the case and calls check with what was sent, answered and run. check returns the breaks of the rule.
func runFaulty(trouble bool, dir string, d dose, check func([]outcome, map[string][]run) []string) {
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
	x := &faultyCase{}
	var engines []*engine
	for service, n := range svorkaServers {
		for i := range n {
			e, err := startEngine(s, fmt.Sprintf("i-%s%d", service, i), service, service == "desk")
			if err != nil {
				fail("%v", err)
			}
			e.work = 30 * time.Millisecond
			if trouble && i < d.engines[service] {
				e.choose = func(*http.Request) string { return d.fault(time.Since(x.began)) }
			}
			engines = append(engines, e)
		}
	}
	for i := range 3 {
		allRouters = append(allRouters, newRouter(tempDir, fmt.Sprintf("front-%d", i), s.address(), svorkaMachine))
		allRouters[i].start()
	}
	awaitReady(allRouters, 20*time.Second)
	x.began = time.Now()
	end := x.began.Add(d.seconds())
	var requesters sync.WaitGroup
	for path, perSecond := range svorkaRates {
		requesters.Go(func() {
			for time.Now().Before(end) {
				requesters.Go(func() { x.request(path, "") })
				time.Sleep(time.Duration(float64(time.Second) / perSecond * (0.5 + rand.Float64())))
			}
		})
	}
	requesters.Wait()
	time.Sleep(time.Second)
	runs := map[string][]run{}
	for _, e := range engines {
		e.mu.Lock()
		for _, r := range e.runs {
			runs[r.id] = append(runs[r.id], r)
		}
		e.mu.Unlock()
	}
	breaks := check(x.outcomes, runs)
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fail("%v", err)
	}
	for _, o := range x.outcomes {
		fmt.Fprintf(f, "%8.3f %s %s to %s: status %d, signature %q, whole %v, ended at %.3f %s %s\n", o.at.Seconds(), o.id, o.path, o.router, o.status, o.signature, o.whole, o.ended.Seconds(), o.first, o.problem)
		for _, r := range runs[o.id] {
			fmt.Fprintf(f, "         %8.3f %s runs it, after event %q, disturbed by %q\n", r.at.Sub(x.began).Seconds(), r.engine, r.after, r.fault)
		}
	}
	disturbed := 0
	for _, list := range runs {
		for _, r := range list {
			if r.fault != "" {
				disturbed++
			}
		}
	}
	summary := fmt.Sprintf("%d requests, %d answers of engines disturbed, the rule was broken %d times\n", len(x.outcomes), disturbed, len(breaks))
	for i, b := range breaks {
		if i == 20 {
			break
		}
		summary += "BROKEN " + b + "\n"
	}
	fmt.Fprint(f, summary)
	fmt.Print(summary)
	_ = f.Close()
	stopAll()
	if len(breaks) > 0 {
		os.Exit(1)
	}
	if trouble && disturbed == 0 {
		fail("no answer was disturbed")
	}
	os.Exit(0)
}

// request sends a request on a new channel, as requesters may. After a promise that it has not run it is sent once more.
func (x *faultyCase) request(path, first string) {
	x.mu.Lock()
	x.next++
	id := fmt.Sprintf("r%05d", x.next)
	x.mu.Unlock()
	r := allRouters[rand.IntN(len(allRouters))]
	o := outcome{id: id, path: path, router: r.name, at: time.Since(x.began)}
	if first != "" {
		o.first = "repeats " + first
	}
	defer func() {
		o.ended = time.Since(x.began)
		x.mu.Lock()
		x.outcomes = append(x.outcomes, o)
		x.mu.Unlock()
	}()
	c, err := net.DialTimeout("tcp4", r.frontend, time.Second)
	if err != nil {
		o.problem = err.Error()
		return
	}
	defer c.Close()
	method, headers, body, deadline := "POST", "", "body", 1000
	switch path {
	case "status":
		method, body = "GET", ""
	case "chat":
		deadline = 10000
	case "once":
		deadline = 5000
	}
	if path == "chat" || path == "once" {
		headers = fmt.Sprintf("Model: m\r\nToken-Usage: 1460,160\r\nPrefix-Hash: %x:800,91bd3f06:410,e4402b7d:250\r\nX-Work: %s\r\n", 0x5c1e07a2+rand.IntN(sharedPrompts), id)
	}
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadline)*time.Millisecond + time.Second))
	if _, err = fmt.Fprintf(c, "%s /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: key\r\n%sContent-Length: %d\r\n\r\n%s", method, path, hostName, id, deadline, headers, len(body), body); err != nil {
		o.problem = err.Error()
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		o.problem = err.Error()
		return
	}
	answer, err := io.ReadAll(response.Body)
	o.status, o.signature, o.encoding, o.body, o.whole = response.StatusCode, response.Header.Get("Response-Signature"), response.Header.Get("Content-Encoding"), string(answer), err == nil
	if err != nil {
		o.problem = err.Error()
	}
	if (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && first == "" {
		time.Sleep(100 * time.Millisecond)
		x.request(path, id)
	}
}

// checkRefused finds reservations that were answered with a promise that they have not run, and have run.
func checkRefused(outcomes []outcome, runs map[string][]run) (breaks []string) {
	for _, o := range outcomes {
		if o.path != "assign" || len(runs[o.id]) == 0 {
			continue
		}
		switch o.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			repeated := ""
			for _, again := range outcomes {
				if again.first == "repeats "+o.id && len(runs[again.id]) > 0 {
					repeated = ", and so has its repetition " + again.id
				}
			}
			breaks = append(breaks, fmt.Sprintf("%s was answered %d and has run at %s%s", o.id, o.status, runs[o.id][0].engine, repeated))
		}
	}
	return breaks
}

// checkMixed finds successes without the engine's signature, or with a body that isn't the engine's.
func checkMixed(outcomes []outcome, _ map[string][]run) (breaks []string) {
	for _, o := range outcomes {
		isStream := o.path == "chat" || o.path == "once"
		if o.status != http.StatusOK || !o.whole {
			continue
		}
		switch {
		case o.signature == "":
			breaks = append(breaks, fmt.Sprintf("%s got a success without the engine's signature", o.id))
		case o.encoding != "":
			breaks = append(breaks, fmt.Sprintf("%s got a success with Content-Encoding %s", o.id, o.encoding))
		case !isStream && !bytes.Equal([]byte(o.body), bodyOf(o.id)):
			breaks = append(breaks, fmt.Sprintf("%s got a success with another body than the engine's", o.id))
		}
	}
	return breaks
}

// checkOrder finds streams that end as complete before their last piece, or in which pieces are missing or come twice.
func checkOrder(outcomes []outcome, _ map[string][]run) (breaks []string) {
	for _, o := range outcomes {
		if o.status != http.StatusOK || o.path != "chat" && o.path != "once" {
			continue
		}
		want := ""
		n := eventsOf(o.id)
		for i := 1; i <= n; i++ {
			want += eventOf(o.id, i)
		}
		if o.whole && o.body != want {
			breaks = append(breaks, fmt.Sprintf("%s (%s) ends as complete with %d bytes of %d, its end is %q", o.id, o.path, len(o.body), len(want), tail([]byte(o.body))[max(0, len(tail([]byte(o.body)))-30):]))
		} else if !o.whole && !strings.HasPrefix(want, o.body) {
			breaks = append(breaks, fmt.Sprintf("%s (%s) has pieces that are missing or come twice", o.id, o.path))
		}
	}
	return breaks
}
