package admit

// retryBudget allows retries in proportion to requests, so that retries can't multiply an overload.
type retryBudget struct {
	share float64
	burst float64
	left  float64
}

func (b *retryBudget) request() { b.left = min(b.burst, b.left+b.share) }

func (b *retryBudget) take() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
