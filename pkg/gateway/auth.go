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

// Headers of the caller API.
const (
	headerClass  = "X-LS-Class"
	headerBudget = "X-LS-Budget"
)

const (
	maxIdempotencyKeyBytes = 255
	bearerPrefix           = "Bearer "
)

// caller is an authenticated caller.
type caller struct {
	key          config.Key
	organisation config.Organisation
}

// authenticate finds the caller by its bearer key. Operator keys are for the admin API only.
func (g *Gateway) authenticate(c fiber.Ctx) (caller, *outcome.Failure) {
	if !g.Config.Loaded() {
		return caller{}, outcome.NotRunf(outcome.ReasonNotConfigured, retryAdvice, "this router has not learnt its configuration yet")
	}
	text, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !ok || text == "" {
		return caller{}, outcome.NotRunf(outcome.ReasonUnauthorized, 0, "header Authorization: Bearer <key> is missing")
	}
	sum := sha256.Sum256([]byte(text))
	key, ok := g.Config.Key(hex.EncodeToString(sum[:]))
	if !ok {
		return caller{}, outcome.NotRunf(outcome.ReasonUnauthorized, 0, "the key is not known")
	}
	if key.Operator {
		return caller{}, outcome.NotRunf(outcome.ReasonForbidden, 0, "an operator key can't be used for the caller API")
	}
	organisation, ok := g.Config.Organisation(key.Organisation)
	if !ok {
		return caller{}, outcome.NotRunf(outcome.ReasonForbidden, 0, "organisation %q of the key does not exist", key.Organisation)
	}
	return caller{key: key, organisation: organisation}, nil
}

// request builds what all kinds of requests have in common. Header values are copied, because the HTTP
// library reuses their memory once the handler has returned.
func (g *Gateway) request(c fiber.Ctx, id string, from caller) (relay.Request, *outcome.Failure) {
	name := strings.Clone(c.Get(headerClass))
	if name == "" {
		name = from.organisation.DefaultClass
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
		ID: id, Organisation: from.organisation, Class: class, IdempotencyKey: key,
		Fingerprint: fingerprint(c), Arrived: time.Now(),
	}, nil
}

// fingerprint hashes what the caller asked for.
func fingerprint(c fiber.Ctx) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.Method())
	_, _ = d.WriteString(c.OriginalURL())
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.Body())
	return d.Sum64()
}

// budgetOf returns the budget that pays, always one of the caller's own organisation.
func budgetOf(c fiber.Ctx, from caller) budget.ID {
	name := strings.Clone(c.Get(headerBudget))
	if name == "" {
		name = from.key.Budget
	}
	return budget.ID{Organisation: from.organisation.ID, Budget: name}
}
