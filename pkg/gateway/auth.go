package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/relay"
)

// Request headers of the caller API.
const (
	headerClass  = "X-LS-Class"
	headerBudget = "X-LS-Budget"
)

const (
	maxIdempotencyKeyBytes = 255
	bearerPrefix           = "Bearer "
)

// callerIdentity is the key of an authenticated caller and the organisation that the key belongs to.
type callerIdentity struct {
	key          config.Key
	organisation config.Organisation
}

// authenticate identifies the caller by its bearer key. Operator keys are refused: they are valid only for the admin
// API.
func (g *Gateway) authenticate(c fiber.Ctx) (callerIdentity, *outcome.Failure) {
	if !g.Config.Loaded() {
		return callerIdentity{}, outcome.NotRunf(outcome.ReasonNotConfigured, retryAfter, "this router has not learnt its configuration yet")
	}
	text, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !ok || text == "" {
		return callerIdentity{}, outcome.NotRunf(outcome.ReasonUnauthorized, 0, "header Authorization: Bearer <key> is missing")
	}
	sum := sha256.Sum256([]byte(text))
	key, ok := g.Config.Key(hex.EncodeToString(sum[:]))
	if !ok {
		return callerIdentity{}, outcome.NotRunf(outcome.ReasonUnauthorized, 0, "the key is not known")
	}
	if key.Operator {
		return callerIdentity{}, outcome.NotRunf(outcome.ReasonForbidden, 0, "an operator key can't be used for the caller API")
	}
	organisation, ok := g.Config.Organisation(key.Organisation)
	if !ok {
		return callerIdentity{}, outcome.NotRunf(outcome.ReasonForbidden, 0, "organisation %q of the key does not exist", key.Organisation)
	}
	return callerIdentity{key: key, organisation: organisation}, nil
}

// newRequest returns the part of a request that chat completions and service calls have in common. It copies header
// values, because the HTTP library reuses their memory after the handler returns.
func (g *Gateway) newRequest(c fiber.Ctx, id string, caller callerIdentity) (relay.Request, *outcome.Failure) {
	name := strings.Clone(c.Get(headerClass))
	if name == "" {
		name = caller.organisation.DefaultClass
	}
	class, ok := g.Config.Class(name)
	if !ok {
		return relay.Request{}, outcome.NotRunf(outcome.ReasonBadRequest, 0, "class %q does not exist", name)
	}
	key := strings.Clone(c.Get(relay.HeaderIdempotencyKey))
	if len(key) > maxIdempotencyKeyBytes {
		return relay.Request{}, outcome.NotRunf(outcome.ReasonBadRequest, 0,
			"header %s has %d bytes; at most %d are allowed", relay.HeaderIdempotencyKey, len(key), maxIdempotencyKeyBytes)
	}
	if key == "" {
		key = id
	}
	return relay.Request{
		ID: id, Organisation: caller.organisation, Class: class, IdempotencyKey: key,
		Fingerprint: hashRequest(c), Arrived: time.Now(),
	}, nil
}

// hashRequest returns a hash of the request's method, URL and body.
func hashRequest(c fiber.Ctx) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.Method())
	_, _ = d.WriteString(c.OriginalURL())
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.Body())
	return d.Sum64()
}

// payingBudget returns the budget that pays for the request: the one named in the header, or else that of the key. It
// always belongs to the caller's organisation.
func payingBudget(c fiber.Ctx, caller callerIdentity) budget.ID {
	name := strings.Clone(c.Get(headerBudget))
	if name == "" {
		name = caller.key.Budget
	}
	return budget.ID{Organisation: caller.organisation.ID, Budget: name}
}
