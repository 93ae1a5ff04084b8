package gateway

import (
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/relay"
)

func writeFailure(c fiber.Ctx, requestID string, f *outcome.Failure) error {
	c.Set(relay.HeaderRequestID, requestID)
	if f.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(max(1, int(f.RetryAfter.Seconds()))))
	}
	return c.Status(f.Status()).JSON(f.Body(requestID))
}
