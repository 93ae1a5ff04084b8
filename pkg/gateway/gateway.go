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

// Options configure a Gateway.
type Options struct {
	Config  config.View
	Members member.View
	Relay   *relay.Relay
	Log     log.Interface
	// AddressTTL is how long callers may keep an address answer.
	AddressTTL time.Duration
	// Leaving reports whether the router has been announced as leaving, and AcceptsNew whether it takes new requests.
	// They may be nil.
	Leaving    func() bool
	AcceptsNew func() bool
	// NewID returns a new request id that is unique across the fleet.
	NewID func() string
}

// Gateway is the caller API of one router.
type Gateway struct {
	Options
	app *fiber.App
	// inProgress counts requests from arrival to their last byte.
	inProgress *tracker
}

// New returns a gateway that is not listening yet.
func New(options Options) *Gateway {
	g := &Gateway{Options: options, inProgress: newTracker()}
	g.app = fiber.New(fiber.Config{
		BodyLimit:    MaxBodyBytes,
		ErrorHandler: g.handleError,
		// The API is for programs; a slow sender must not hold a connection for ever.
		ReadTimeout: 30 * time.Second,
		IdleTimeout: 2 * time.Minute,
	})
	g.app.Use(g.closeConnections)
	g.app.Get("/healthz", g.health)
	g.app.Get("/v1/addresses", g.addresses)
	g.app.Post("/v1/chat/completions", g.chat)
	g.app.All("/v1/services/:service", g.service)
	g.app.All("/v1/services/:service/*", g.service)
	return g
}

// Serve accepts connections until Shutdown. It returns an error if the listener fails.
func (g *Gateway) Serve(listener net.Listener) error {
	if err := g.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("serve caller API: %w", err)
	}
	return nil
}

// Shutdown stops accepting connections and waits for open ones until ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	return g.app.ShutdownWithContext(ctx)
}

// InProgress returns the number of requests that have not had their last byte.
func (g *Gateway) InProgress() int { return g.inProgress.count() }

// Idle returns a channel that is closed when no request is in progress.
func (g *Gateway) Idle() <-chan struct{} { return g.inProgress.idle() }

// closeConnections closes each connection to a leaving router after its next answer, so that callers ask for addresses
// again and no request meets a closed connection when the router stops.
func (g *Gateway) closeConnections(c fiber.Ctx) error {
	if g.Leaving != nil && g.Leaving() {
		c.Response().SetConnectionClose()
	}
	return c.Next()
}

// enter counts a request as in progress, or returns a failure if new requests are refused. The request is counted
// before the check, so that a drain that has begun to refuse waits for every request that passed.
func (g *Gateway) enter() (func(), *outcome.Failure) {
	done := g.inProgress.begin()
	if g.AcceptsNew != nil && !g.AcceptsNew() {
		done()
		return nil, outcome.NotRunf(outcome.ReasonLeaving, retryAdvice, "this router is stopping; ask for addresses again")
	}
	return done, nil
}

func (g *Gateway) health(c fiber.Ctx) error {
	if !g.Config.Loaded() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("configuration not loaded\n")
	}
	return c.SendString("ok\n")
}

// handleError turns errors of the HTTP library into typed answers.
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
