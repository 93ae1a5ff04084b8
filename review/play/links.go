package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// links are the connections between one router and the engines. The router sees the addresses of proxies in place of the engines'.
type links struct {
	mu      sync.Mutex
	proxies map[string]*proxy
	cut     string
	store   *store
	server  *httptest.Server
}

func newLinks(s *store) *links {
	l := &links{proxies: map[string]*proxy{}, store: s}
	l.server = httptest.NewServer(l)
	return l
}

func (l *links) address() string { return l.server.Listener.Addr().String() }

// ServeHTTP passes calls on to the store and replaces the engines' addresses in its answers.
func (l *links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/objects/servers") {
		l.store.ServeHTTP(w, r)
		return
	}
	recorder := httptest.NewRecorder()
	l.store.ServeHTTP(recorder, r)
	body := recorder.Body.String()
	const mark = `"address":"`
	var b strings.Builder
	for {
		before, rest, ok := strings.Cut(body, mark)
		b.WriteString(before)
		if !ok {
			break
		}
		address, after, _ := strings.Cut(rest, `"`)
		b.WriteString(mark + l.proxy(address).address + `"`)
		body = after
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(recorder.Code)
	_, _ = io.WriteString(w, b.String())
}

func (l *links) proxy(target string) *proxy {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.proxies[target]
	if p == nil {
		p = &proxy{target: target, conns: map[net.Conn]bool{}}
		p.open("127.0.0.1:0")
		p.address = p.listener.Addr().String()
		l.proxies[target] = p
		if l.cut != "" {
			p.setCut(l.cut)
		}
	}
	return p
}

// setCut cuts the links: "refuse" resets channels and refuses new ones, "silent" keeps them and passes nothing on. "" ends the cut.
func (l *links) setCut(how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = how
	for _, p := range l.proxies {
		p.setCut(how)
	}
}

type proxy struct {
	target, address string
	mu              sync.Mutex
	listener        net.Listener
	conns           map[net.Conn]bool
	cut             string
}

func (p *proxy) open(address string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		fail("proxy: %v", err)
	}
	p.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(c)
		}
	}()
}

func (p *proxy) setCut(how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if how == p.cut {
		return
	}
	old := p.cut
	p.cut = how
	if how == "refuse" {
		_ = p.listener.Close()
	}
	if how == "refuse" || old == "silent" {
		for c := range p.conns {
			reset(c)
		}
		p.conns = map[net.Conn]bool{}
	}
	if old == "refuse" {
		p.open(p.address)
	}
}

func (p *proxy) relay(c net.Conn) {
	u, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[u] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			for {
				p.mu.Lock()
				cut := p.cut
				p.mu.Unlock()
				if cut != "silent" {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			if err != nil {
				reset(to)
				return
			}
		}
	}
	both.Go(func() { pass(u, c) })
	both.Go(func() { pass(c, u) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, u)
	p.mu.Unlock()
	_, _ = c.Close(), u.Close()
}
