package allowance

import "github.com/lavendershunt/lavendershunt/pkg/telemetry"

// flows counts the tokens of an organisation that this router has got and passed on since its start.
type flows struct {
	// drawn and received came from the store and from other routers.
	drawn, received int64
	// returned, given and charged went to the store, to other routers and to requests. uncertain were returned by writes that may
	// not have taken effect.
	returned, given, charged, uncertain int64
}

// held returns the number of tokens that the router has: free, reserved by requests, or being returned.
func (f flows) held() int64 {
	return f.drawn + f.received - f.returned - f.given - f.charged - f.uncertain
}

// plus returns the sum of both.
func (f flows) plus(o flows) flows {
	return flows{
		drawn: f.drawn + o.drawn, received: f.received + o.received,
		returned: f.returned + o.returned, given: f.given + o.given, charged: f.charged + o.charged, uncertain: f.uncertain + o.uncertain,
	}
}

// total returns the flows and the free tokens of all organisations.
func (acc *Accounts) total() (sum flows, free int64) {
	acc.owner.Do(func(t *accountTable) {
		for _, a := range t.accounts {
			sum = sum.plus(a.flows)
			free += a.free
		}
	})
	return sum, free
}

// RegisterMetrics registers what this router has of all budgets, and where its tokens came from and went.
func (acc *Accounts) RegisterMetrics(i *telemetry.Instruments) {
	i.Gauge("allowance_tokens", "tokens", "Tokens that this router has drawn or received.", func(o telemetry.Observe) {
		sum, free := acc.total()
		o(free, "state", "free")
		o(sum.held()-free, "state", "reserved")
	})
	i.Counter("allowance_flow", "tokens", "Tokens that this router has got and passed on since its start.", func(o telemetry.Observe) {
		sum, _ := acc.total()
		o(sum.drawn, "flow", "drawn")
		o(sum.received, "flow", "received")
		o(sum.returned, "flow", "returned")
		o(sum.given, "flow", "given")
		o(sum.charged, "flow", "charged")
		o(sum.uncertain, "flow", "uncertain")
	})
}
