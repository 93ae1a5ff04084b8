package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// engine serves one engine of the users' pages, over its own connections so that an answer may have any framing.
type engine struct {
	id    string
	born  int64
	plain bool
	// unframed makes answers come with neither a length nor chunks.
	unframed bool
	// events is the number of events of a stream, pause the time between them, and work the time that a plain answer takes, half of
	// it after the first half of its bytes.
	events      int
	pause, work time.Duration
	// exitAfter is the time from the notice that the engine leaves to its exit.
	exitAfter time.Duration

	leaving atomic.Bool
	active  atomic.Int64
}

// runEngine runs an engine process. After SIGTERM it says in its answers that it leaves, goes on serving for exitAfter, and exits.
func runEngine(arguments []string) {
	set := flag.NewFlagSet("engine", flag.ExitOnError)
	e := &engine{}
	listen := set.String("listen", "", "address")
	set.StringVar(&e.id, "id", "", "id")
	set.Int64Var(&e.born, "born", 0, "start time in Unix ms")
	set.BoolVar(&e.plain, "plain", false, "a plain service")
	set.BoolVar(&e.unframed, "unframed", false, "answers end with their channel")
	set.IntVar(&e.events, "events", 13, "events of a stream")
	set.DurationVar(&e.pause, "pause", 20*time.Millisecond, "time between events")
	set.DurationVar(&e.work, "work", 30*time.Millisecond, "time of a plain answer")
	set.DurationVar(&e.exitAfter, "exit-after", 0, "time from SIGTERM to the exit")
	_ = set.Parse(arguments) // It exits after an error.
	listener, err := net.Listen("tcp4", *listen)
	if err != nil {
		fail("engine: %v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() {
		<-signals
		e.leaving.Store(true)
		time.Sleep(e.exitAfter)
		fmt.Printf("* ends\n")
		os.Exit(0)
	}()
	for {
		c, err := listener.Accept()
		if err != nil {
			fail("engine: %v", err)
		}
		go e.serve(c)
	}
}

// serve serves the requests of one connection.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !e.answer(c, request) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (e *engine) answer(c net.Conn, r *http.Request) (keep bool) {
	e.active.Add(1)
	defer e.active.Add(-1)
	switch {
	case r.URL.Path == "/healthz":
		return e.write(c, "200 OK", r, "Content-Length: 0\r\n", "")
	case r.URL.Path == "/report" && !e.plain:
		body := fmt.Sprintf(`{"phase":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,"queued":0,"active":%d,"kv_used_tokens":1000,"kv_total_tokens":490410,"handles":0,"born":%d}`, e.active.Load()-1, e.born)
		return e.write(c, "200 OK", r, "Content-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n", body)
	case r.Header.Get("Request-Id") == "":
		return e.write(c, "400 Bad Request", r, "Not-Executed: 1\r\nContent-Length: 0\r\n", "")
	case r.Header.Get("Expected-Instance") != "" && r.Header.Get("Expected-Instance") != e.id:
		return e.write(c, "421 Misdirected Request", r, "Content-Length: 0\r\n", "")
	}
	id := r.Header.Get("Request-Id")
	fmt.Printf("* begins to run %.40s (%s)\n", id, r.URL.Path)
	if e.plain {
		return e.answerPlain(c, r, id)
	}
	return e.answerStream(c, r, id)
}

// write writes a head, with the fields given, and a body in one piece.
func (e *engine) write(c net.Conn, status string, r *http.Request, fields, body string) bool {
	_, err := io.WriteString(c, e.head(status, r, fields)+body)
	return err == nil
}

func (e *engine) head(status string, r *http.Request, fields string) string {
	head := "HTTP/1.1 " + status + "\r\nInstance-Id: " + e.id + "\r\n"
	if id := r.Header.Get("Request-Id"); id != "" {
		head += "Request-Id: " + id + "\r\n"
	}
	if e.leaving.Load() {
		head += "Server-Leaving: 1\r\nConnection: close\r\n"
	}
	return head + fields + "\r\n"
}

// plainBody returns the whole answer of a plain service.
func plainBody(id string) string {
	return "answer to " + id + " " + strings.Repeat("x", 780) + " end"
}

func (e *engine) answerPlain(c net.Conn, r *http.Request, id string) bool {
	body := plainBody(id)
	fields := "Response-Signature: 3e1b." + e.id + "\r\n"
	if !e.unframed {
		fields += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	time.Sleep(e.work / 2)
	if !e.write(c, "200 OK", r, fields, body[:len(body)/2]) {
		return false
	}
	time.Sleep(e.work / 2)
	_, err := io.WriteString(c, body[len(body)/2:])
	fmt.Printf("* has run %s\n", id)
	return err == nil && !e.unframed
}

// streamEvent returns an event of a stream.
func streamEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

func (e *engine) answerStream(c net.Conn, r *http.Request, id string) bool {
	fields := "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nResponse-Signature: 3e1b." + e.id + "\r\n"
	if !e.unframed {
		fields += "Transfer-Encoding: chunked\r\n"
	}
	if !e.write(c, "200 OK", r, fields, "") {
		return false
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header: the stream begins.
	for n := after + 1; n <= e.events; n++ {
		if n > after+1 {
			time.Sleep(e.pause)
		}
		text := streamEvent(id, n)
		if !e.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			fmt.Printf("* stops %s at event %d: its channel is closed\n", id, n)
			return false
		}
	}
	fmt.Printf("* has run %.40s to its last event\n", id)
	if e.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
