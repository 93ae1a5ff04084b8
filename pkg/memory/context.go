package memory

import "context"

type holdingKey struct{}

// WithHolding returns the context for a request that was counted in the holding when it was read, with its body.
func WithHolding(ctx context.Context, h *Holding) context.Context {
	return context.WithValue(ctx, holdingKey{}, h)
}

// FromContext returns the holding of WithHolding, nil if there is none.
func FromContext(ctx context.Context) *Holding {
	h, _ := ctx.Value(holdingKey{}).(*Holding)
	return h
}
