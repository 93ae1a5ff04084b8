package admit

// retryBudget is a token bucket that allows retries in proportion to requests, so that retries can't multiply an
// overload.
type retryBudget struct {
	share     float64 // retries gained per request
	burst     float64 // largest value of remaining
	remaining float64
}

func (b *retryBudget) creditRequest() { b.remaining = min(b.burst, b.remaining+b.share) }

// tryConsume takes one retry from the budget and reports whether one was available.
func (b *retryBudget) tryConsume() bool {
	if b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}
