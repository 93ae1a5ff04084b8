package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
)

// shutdownTimeout is how long the server waits for open requests after a stop signal.
const shutdownTimeout = 2 * time.Second

// NewServer returns a fasthttp server for a stand-in. A request body may have at most maxBodyBytes bytes.
func NewServer(name string, handler fasthttp.RequestHandler, maxBodyBytes int) *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  name,
		Handler:               handler,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultDate:         true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		IdleTimeout:           2 * time.Minute,
	}
}

// Run serves on the address until SIGINT or SIGTERM, and then waits up to shutdownTimeout for open requests. It returns
// an error if it can't listen or the server fails.
func Run(server *fasthttp.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	log.WithField("address", listener.Addr().String()).Info(server.Name + " is listening")
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.ShutdownWithContext(shutdownCtx); err != nil {
		log.WithError(err).Warn("shutdown ended before all open requests were done")
	}
	return nil
}

// WriteJSON answers with the status code and the value as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// WriteError answers with the status code and the JSON body {"error": message}.
func WriteError(ctx *fasthttp.RequestCtx, status int, message string) {
	WriteJSON(ctx, status, map[string]string{"error": message})
}

// CloseConnection closes the connection without an answer.
func CloseConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}
