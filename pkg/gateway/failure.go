package gateway

import (
	"encoding/json"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/relay"
)

// failureBody is the machine-readable body of every answer that is not the whole answer.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	RequestID    string          `json:"request_id"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	Message      string          `json:"message"`
}

func bodyOf(requestID string, f *outcome.Failure) failureBody {
	return failureBody{Error: failureDetail{
		Outcome: f.Outcome, Reason: f.Reason, RequestID: requestID,
		RetryAfterMS: f.RetryAfter.Milliseconds(), Message: f.Message,
	}}
}

func writeFailure(c fiber.Ctx, requestID string, f *outcome.Failure) error {
	c.Set(relay.HeaderRequestID, requestID)
	if f.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(max(1, int(f.RetryAfter.Seconds()))))
	}
	return c.Status(f.Status()).JSON(bodyOf(requestID, f))
}

// encodeFailure returns the body as JSON. The body has only strings and numbers, so encoding can't fail.
func encodeFailure(requestID string, f *outcome.Failure) []byte {
	data, err := json.Marshal(bodyOf(requestID, f))
	if err != nil {
		panic("gateway: encode failure body: " + err.Error())
	}
	return data
}
