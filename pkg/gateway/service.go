package gateway

import (
	"context"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/lavendershunt/lavendershunt/pkg/relay"
)

// headerStoredResult is set on an answer that is the stored result of an earlier attempt.
const headerStoredResult = "X-LS-Stored-Result"

// handleService forwards a request to a plain service: an endpoint that is not a model engine.
func (g *Gateway) handleService(c fiber.Ctx) error {
	id := g.NewID()
	caller, failure := g.authenticate(c)
	if failure != nil {
		return writeFailure(c, id, failure)
	}
	request, failure := g.newRequest(c, id, caller)
	if failure != nil {
		return writeFailure(c, id, failure)
	}
	done, failure := g.beginRequest()
	if failure != nil {
		return writeFailure(c, id, failure)
	}
	defer done()
	answer, failure := g.Relay.Call(context.Background(), relay.Call{
		Request:     request,
		Service:     strings.Clone(c.Params("service")),
		Method:      strings.Clone(c.Method()),
		Path:        strings.Clone(c.Params("*")),
		Query:       string(c.Request().URI().QueryString()),
		ContentType: strings.Clone(c.Get(fiber.HeaderContentType)),
		Body:        append([]byte(nil), c.Body()...),
	})
	if failure != nil {
		return writeFailure(c, id, failure)
	}
	c.Set(relay.HeaderRequestID, id)
	if answer.Stored {
		c.Set(headerStoredResult, "true")
	}
	c.Set(fiber.HeaderContentType, answer.ContentType)
	return c.Status(answer.Status).Send(answer.Body)
}
