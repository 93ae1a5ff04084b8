package main

import (
	"io"
	"net"
	"sync"

	"github.com/lavendershunt/lavendershunt/internal/loopback"
)

// proxy stands on the link between the routers and an engine. While it is cut, it holds what both sides send, new connections and the
// ends of connections; all of it arrives once the link is back.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// open is closed while the link is not cut.
	open chan struct{}
}

// newProxy returns a proxy to the target, which serves until it is closed.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", loopback.Address())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: make(chan struct{})}
	close(p.open)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

// cut cuts the link.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

// heal brings the link back.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// await waits until the link is not cut.
func (p *proxy) await() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

// serve connects a router's connection to the engine. If the engine refuses it, the router's connection is reset.
func (p *proxy) serve(c *net.TCPConn) {
	defer c.Close()
	p.await()
	dialled, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = c.SetLinger(0) // It fails only on a closed connection.
		return
	}
	engine := dialled.(*net.TCPConn)
	defer engine.Close()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(engine, c) })
	copies.Go(func() { p.copy(c, engine) })
	copies.Wait()
}

// copy passes on what one side sends, and its end.
func (p *proxy) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.CloseRead() // The other side is gone.
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite() // It fails only on a closed connection.
			return
		case err != nil:
			_ = to.SetLinger(0) // As above.
			_ = to.Close()
			return
		}
	}
}
