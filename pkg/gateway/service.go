package gateway

import (
	"context"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/lavendershunt/lavendershunt/pkg/relay"
)

// headerStored marks an answer that is the recorded result of an earlier attempt.
const headerStored = "X-LS-Stored-Result"

// service passes a request on to a plain service.
func (g *Gateway) service(c fiber.Ctx) error {
	id := g.NewID()
	from, failure := g.authenticate(c)
	if failure != nil {
		return writeFailure(c, id, failure)
	}
	request, failure := g.request(c, id, from)
	if failure != nil {
		return writeFailure(c, id, failure)
	}
	done, failure := g.enter()
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
		c.Set(headerStored, "true")
	}
	c.Set(fiber.HeaderContentType, answer.ContentType)
	return c.Status(answer.Status).Send(answer.Body)
}
