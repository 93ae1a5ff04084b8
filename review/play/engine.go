package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model engine or a plain service over plain TCP, so that it can answer in every way that PROTOCOL.md
// allows.
type engine struct {
	id, service string
	stream      bool
	slots       int
	eventPause  time.Duration
	work        time.Duration
	idle        time.Duration
	listener    net.Listener
	store       *store
	// choose returns how the engine answers a request, nil means soundly.
	choose func(r *http.Request) string

	mu       sync.Mutex
	runs     []run
	conns    map[net.Conn]bool
	working  map[string]int
	state    string
	stopBeat bool
}

// run is a request that an engine began to run.
type run struct {
	id, engine, target, method, tenant, key, usage, prefix, model, after string
	body                                                                 uint64
	at                                                                   time.Time
	fault                                                                string
}

func startEngine(s *store, id, service string, stream bool) (*engine, error) {
	e := &engine{id: id, service: service, stream: stream, slots: 6, store: s, eventPause: 10 * time.Millisecond, work: 5 * time.Millisecond, idle: 5 * time.Second, conns: map[net.Conn]bool{}, working: map[string]int{}, state: "ready"}
	if stream {
		e.slots = 64
	}
	var err error
	if e.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go e.accept()
	e.beat(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(1200 * time.Millisecond)
			e.mu.Lock()
			stop := e.stopBeat
			e.mu.Unlock()
			if stop {
				return
			}
			e.beat(n)
		}
	}()
	return e, nil
}

func (e *engine) beat(sequence int) {
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	e.store.set("servers", e.id, map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": "praha-sever", "version": "v1", "slots": e.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": sequence, "born": 1764900000000, "phase": "prefill_decode",
	})
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			defer func() {
				e.mu.Lock()
				delete(e.conns, c)
				e.mu.Unlock()
				_ = c.Close()
			}()
			e.serve(c)
		}()
	}
}

// serve answers the requests of one channel.
func (e *engine) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(e.idle))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		r, err := http.ReadRequest(reader)
		if err != nil {
			e.note("unreadable", err.Error())
			return
		}
		if !e.answer(c, reader, r) {
			return
		}
	}
}

func (e *engine) note(id, fault string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run{id: id, engine: e.id, fault: fault, at: time.Now()})
}

// head returns the head of an answer up to its last header. It states the time after which the engine closes an idle channel.
func (e *engine) head(status int, id string, headers ...string) string {
	if n := int(e.idle.Seconds()); n > 0 {
		headers = append([]string{fmt.Sprintf("Keep-Alive: timeout=%d", n)}, headers...)
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%s", status, http.StatusText(status), id, strings.Join(append(headers, ""), "\r\n"))
}

// bodyOf returns the engine's answer for a request that isn't a stream.
func bodyOf(id string) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	n := int(h.Sum64() % 3000)
	return append([]byte("answer "+id+" "), bytes.Repeat([]byte("x"), n)...)
}

// eventsOf returns the number of events of a request's stream.
func eventsOf(id string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte("n" + id))
	return 1 + int(h.Sum64()%25)
}

// eventOf returns one event of the stream of the work named by key.
func eventOf(key string, i int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, key)
}

func sum(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}

// answer reads the rest of the request and answers it. It reports whether the channel goes on.
func (e *engine) answer(c net.Conn, reader *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	send := func(text string) bool {
		_, err := c.Write([]byte(text))
		return err == nil
	}
	if r.URL.Path == "/report" {
		body := `{"phase":"prefill_decode","models":[],"busy":false,"sequence":1,"queued":0,"active":0,"kv_used_tokens":0,"kv_total_tokens":90000,"handles":0}`
		return send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}
	if x := r.Header.Get("Expected-Instance"); x != "" && x != e.id {
		_, _ = io.Copy(io.Discard, r.Body)
		return send(e.head(421, id, "Instance-Id: "+e.id, "Content-Length: 0") + "\r\n")
	}
	fault := ""
	if e.choose != nil {
		fault = e.choose(r)
	}
	var body []byte
	if fault != "early" || r.ContentLength < 8<<10 {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return false
		}
	}
	if fault == "shed" || fault == "shedclose" {
		send(e.head(503, id, "Not-Executed: 1", "Content-Length: 4") + "\r\nfull")
		return fault == "shed"
	}
	if fault == "shedlate" {
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
		return send(e.head(503, id, "Not-Executed: 1", "Content-Length: 0") + "\r\n")
	}
	record := run{
		id: id, engine: e.id, target: r.RequestURI, method: r.Method, tenant: r.Header.Get("Tenant"), key: r.Header.Get("Api-Key"), usage: r.Header.Get("Token-Usage"),
		prefix: r.Header.Get("Prefix-Hash"), model: r.Header.Get("Model"), after: r.Header.Get("Last-Event-Id"), body: sum(body), at: time.Now(), fault: fault,
	}
	if fault == "early" && body == nil {
		record.body = 0
	}
	e.mu.Lock()
	e.runs = append(e.runs, record)
	e.working[id]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.working[id]--
		e.mu.Unlock()
	}()
	signature := "Response-Signature: sig." + id
	if e.stream {
		return e.answerStream(c, r, id, signature, fault, send)
	}
	time.Sleep(time.Duration(rand.Int64N(int64(2*e.work) + 1)))
	whole := bodyOf(id)
	length := fmt.Sprintf("Content-Length: %d", len(whole))
	switch fault {
	case "chunked":
		if !send(e.head(200, id, signature, "Transfer-Encoding: chunked") + "\r\n") {
			return false
		}
		for rest := whole; len(rest) > 0; {
			n := min(len(rest), 1+rand.IntN(700))
			if !send(fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])) {
				return false
			}
			rest = rest[n:]
		}
		return send("0\r\n\r\n")
	case "unframed":
		send(e.head(200, id, signature) + "\r\n" + string(whole))
		return false
	case "unframedreset":
		send(e.head(200, id, signature) + "\r\n" + string(whole[:len(whole)/2]))
		time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
		reset(c)
		return false
	case "cut":
		send(e.head(200, id, signature, length) + "\r\n" + string(whole[:len(whole)/2]))
		return false
	case "cutchunk":
		send(e.head(200, id, signature, "Transfer-Encoding: chunked") + fmt.Sprintf("\r\n%x\r\n%s\r\n", 7, whole[:7]))
		return false
	case "garbage":
		send("\x00\x01garbage that is no answer\r\n\r\n")
		return rand.IntN(2) == 0
	case "unsigned":
		// The line of the signature is spoiled, and so is the body.
		return send(e.head(200, id, "Response-Sig: spoiled", length) + "\r\n" + string(bytes.ToUpper(whole)))
	case "encoded":
		return send(e.head(200, id, signature, length, "Content-Encoding: gzip") + "\r\n" + string(bytes.ToUpper(whole)))
	case "busy":
		// The engine has run the request and fails. It doesn't say Not-Executed.
		return send(e.head(503, id, "Content-Length: 6") + "\r\nfailed")
	case "status":
		// Bytes that are no response: the digits of the status are spoiled.
		send(strings.Replace(e.head(200, id, signature, length), " 200 ", " 020 ", 1) + "\r\n" + string(whole))
		return false
	case "reset":
		reset(c)
		return false
	case "close":
		return false
	case "500":
		return send(e.head(500, id, "Response-Signature: sig500."+id, "Content-Length: 6") + "\r\nfailed")
	case "404":
		return send(e.head(404, id, "Response-Signature: sig404."+id, "Content-Length: 6") + "\r\nabsent")
	case "extra", "extralate", "tail":
		if !send(e.head(200, id, signature, length) + "\r\n" + string(whole)) {
			return false
		}
		if fault == "extralate" {
			time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
		}
		if fault == "tail" {
			time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			return send("more bytes that belong to no request")
		}
		other := bodyOf(id + "-extra")
		return send(e.head(200, id, "Response-Signature: extra."+id, fmt.Sprintf("Content-Length: %d", len(other))) + "\r\n" + string(other))
	case "interim":
		return send("HTTP/1.1 100 Continue\r\n\r\n" + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + e.head(200, id, signature, length) + "\r\n" + string(whole))
	case "connclose":
		send(e.head(200, id, signature, length, "Connection: close") + "\r\n" + string(whole))
		return false
	case "silentclose":
		send(e.head(200, id, signature, length) + "\r\n" + string(whole))
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		return false
	case "early":
		if !send(e.head(200, id, signature, length) + "\r\n" + string(whole)) {
			return false
		}
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		if body == nil {
			rest, err := io.ReadAll(r.Body)
			if err != nil {
				return false
			}
			e.mu.Lock()
			for i := range e.runs {
				if e.runs[i].id == id && e.runs[i].body == 0 {
					e.runs[i].body = sum(rest)
				}
			}
			e.mu.Unlock()
		}
		return true
	case "slow":
		time.Sleep(time.Duration(200+rand.IntN(600)) * time.Millisecond)
	case "hang":
		time.Sleep(1500 * time.Millisecond)
	case "dribble":
		for _, part := range split(e.head(200, id, signature, length)+"\r\n"+string(whole), 6) {
			if !send(part) {
				return false
			}
			time.Sleep(time.Millisecond)
		}
		return true
	}
	return send(e.head(200, id, signature, length) + "\r\n" + string(whole))
}

func split(text string, parts int) []string {
	var list []string
	for i := parts; i > 1 && len(text) > 1; i-- {
		n := 1 + rand.IntN(len(text)-1)
		list, text = append(list, text[:n]), text[n:]
	}
	return append(list, text)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// answerStream sends the events after Last-Event-Id.
func (e *engine) answerStream(c net.Conn, r *http.Request, id, signature, fault string, send func(string) bool) bool {
	key := r.Header.Get("X-Work")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	n := eventsOf(key)
	unframed := strings.HasPrefix(fault, "unframed")
	framing := "Transfer-Encoding: chunked"
	if unframed {
		framing = "X-Framing: none"
	}
	if fault == "500" {
		return send(e.head(500, id, "Response-Signature: sig500."+id, "Content-Length: 6") + "\r\nfailed")
	}
	switch fault {
	case "unsigned":
		signature = "Response-Sig: spoiled"
	case "encoded":
		framing += "\r\nContent-Encoding: gzip"
	}
	if fault == "reset" || fault == "close" {
		if fault == "reset" {
			reset(c)
		}
		return false
	}
	time.Sleep(time.Duration(rand.Int64N(int64(2*e.work) + 1)))
	if !send(e.head(200, id, signature, "Content-Type: text/event-stream", framing) + "\r\n") {
		return false
	}
	stop := after + 1 + rand.IntN(max(1, n-after))
	for i := after + 1; i <= n; i++ {
		time.Sleep(time.Duration(rand.Int64N(int64(2*e.eventPause) + 1)))
		text := eventOf(key, i)
		if i == stop {
			switch fault {
			case "cut":
				send(chunk(text[:len(text)/2], unframed))
				return false
			case "cutreset", "unframedreset":
				send(chunk(text[:len(text)/2], unframed))
				reset(c)
				return false
			case "cutbetween":
				return false
			case "half":
				// The engine stops in the middle of an event and ends its answer in order.
				send(chunk(text[:len(text)/2], unframed) + "0\r\n\r\n")
				return true
			case "garbage":
				send("\x00\xffnot a chunk\r\n")
				return false
			case "garbageevent":
				send(chunk("no event at all\n\n", unframed))
			case "mute":
				time.Sleep(3 * time.Second)
				return false
			}
		}
		if fault == "dribble" {
			for _, part := range split(chunk(text, unframed), 3) {
				if !send(part) {
					return false
				}
				time.Sleep(time.Millisecond)
			}
			continue
		}
		if !send(chunk(text, unframed)) {
			return false
		}
	}
	if unframed {
		return false
	}
	if !send("0\r\n\r\n") {
		return false
	}
	if fault == "extra" {
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		return send(e.head(200, id, "Response-Signature: extra."+id, "Content-Length: 3") + "\r\nabc")
	}
	return true
}

func chunk(text string, unframed bool) string {
	if unframed {
		return text
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}
