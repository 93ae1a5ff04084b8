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

// shutdownTimeout bounds the time that open requests get after a stop signal.
const shutdownTimeout = 2 * time.Second

// NewServer returns a fasthttp server with the limits of the stand-ins. maxBody is in bytes.
func NewServer(name string, handler fasthttp.RequestHandler, maxBody int) *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  name,
		Handler:               handler,
		MaxRequestBodySize:    maxBody,
		NoDefaultDate:         true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		IdleTimeout:           2 * time.Minute,
	}
}

// Run serves on the address until SIGINT or SIGTERM.
func Run(server *fasthttp.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening on %s: %w", address, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	log.WithField("address", listener.Addr().String()).Info(server.Name + " serves")
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.ShutdownWithContext(bounded); err != nil {
		log.WithError(err).Warn("open requests were cut off")
	}
	return nil
}

// WriteJSON answers with the status and the value as JSON.
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

// WriteError answers with the status and a JSON body that holds the message.
func WriteError(ctx *fasthttp.RequestCtx, status int, message string) {
	WriteJSON(ctx, status, map[string]string{"error": message})
}

// CloseConnection closes the connection without an answer.
func CloseConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}
