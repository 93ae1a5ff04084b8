package tokenpool

import (
	"math"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// demand is an exponentially weighted estimate of the tokens reserved per second.
type demand struct {
	perSecond float64
	updatedAt time.Time
}

func (d *demand) add(now time.Time, tokens budget.Tokens, window time.Duration) {
	d.perSecond = d.rate(now, window) + float64(tokens)/window.Seconds()
	d.updatedAt = now
}

func (d *demand) rate(now time.Time, window time.Duration) float64 {
	if d.perSecond == 0 {
		return 0
	}
	return d.perSecond * math.Exp(-now.Sub(d.updatedAt).Seconds()/window.Seconds())
}

// expectedTokens returns the number of tokens expected to be reserved during the horizon.
func (d *demand) expectedTokens(now time.Time, window, horizon time.Duration) budget.Tokens {
	return budget.Tokens(math.Ceil(d.rate(now, window) * horizon.Seconds()))
}
