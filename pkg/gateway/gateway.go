// Package gateway serves the caller API: chat completions, plain services and the address lookup.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/gofiber/fiber/v3"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/relay"
)

// MaxBodyBytes limits a caller's request body.
const MaxBodyBytes = 4 << 20

// Options configures a Gateway.
type Options struct {
	Config  config.View
	Members member.View
	Relay   *relay.Relay
	Log     log.Interface
	// AddressTTL is the time for which callers may cache an address answer.
	AddressTTL time.Duration
	// IsLeaving reports whether the router is announced as leaving. Nil means that it never is.
	IsLeaving func() bool
	// AcceptsNew reports whether new requests are accepted. Nil means that they always are.
	AcceptsNew func() bool
	// NewID returns a new request id that is unique across the fleet.
	NewID func() string
}

// Gateway is the caller API of one router.
type Gateway struct {
	Options
	app *fiber.App
	// inProgress counts requests from their arrival until the last byte of the answer.
	inProgress *requestTracker
}

// New returns a gateway that is not listening yet.
func New(options Options) *Gateway {
	g := &Gateway{Options: options, inProgress: newRequestTracker()}
	g.app = fiber.New(fiber.Config{
		BodyLimit:    MaxBodyBytes,
		ErrorHandler: g.handleError,
		// The API is for programs, and a slow sender must not occupy a connection for ever.
		ReadTimeout: 30 * time.Second,
		IdleTimeout: 2 * time.Minute,
	})
	g.app.Use(g.closeConnections)
	g.app.Get("/healthz", g.handleHealth)
	g.app.Get("/v1/addresses", g.handleAddresses)
	g.app.Post("/v1/chat/completions", g.handleChat)
	g.app.All("/v1/services/:service", g.handleService)
	g.app.All("/v1/services/:service/*", g.handleService)
	return g
}

// Serve accepts connections until Shutdown is called. It returns an error if the listener fails.
func (g *Gateway) Serve(listener net.Listener) error {
	if err := g.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("serve caller API: %w", err)
	}
	return nil
}

// Shutdown stops accepting connections and waits until the open ones are closed or ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	return g.app.ShutdownWithContext(ctx)
}

// InProgress returns the number of requests whose answers are not complete. It is safe for concurrent use.
func (g *Gateway) InProgress() int { return g.inProgress.count() }

// Idle returns a channel that is closed when no request is in progress. It is safe for concurrent use.
func (g *Gateway) Idle() <-chan struct{} { return g.inProgress.idle() }

// closeConnections is middleware that closes each connection after its next answer while the router is leaving. Callers
// then look up addresses again, and no request is sent on a connection that the stopping router closes.
func (g *Gateway) closeConnections(c fiber.Ctx) error {
	if g.IsLeaving != nil && g.IsLeaving() {
		c.Response().SetConnectionClose()
	}
	return c.Next()
}

// beginRequest counts a request as in progress and returns the function that ends it, or a failure if new requests
// are refused. It counts the request before the check, so that a drain, which first refuses new requests and then
// waits, also waits for every request that passed the check.
func (g *Gateway) beginRequest() (func(), *outcome.Failure) {
	done := g.inProgress.begin()
	if g.AcceptsNew != nil && !g.AcceptsNew() {
		done()
		return nil, outcome.NotRunf(outcome.ReasonLeaving, retryAfter, "this router is stopping; ask for addresses again")
	}
	return done, nil
}

func (g *Gateway) handleHealth(c fiber.Ctx) error {
	if !g.Config.Loaded() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("configuration not loaded\n")
	}
	return c.SendString("ok\n")
}

// handleError answers errors of the HTTP library, such as an unknown path, in the format of the caller API.
func (g *Gateway) handleError(c fiber.Ctx, err error) error {
	var status *fiber.Error
	reason := outcome.ReasonBadRequest
	if errors.As(err, &status) {
		switch status.Code {
		case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
			reason = outcome.ReasonNotFound
		case fiber.StatusRequestEntityTooLarge:
			reason = outcome.ReasonTooLarge
		}
	}
	return writeFailure(c, "", outcome.NotRunf(reason, 0, "%v", err))
}
