package forward

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against requests that are divided between services otherwise than by the weights of a route's backends, and against an attempt
// at a stream that is sent to another service than the attempt that began it.
func TestBackendSampleIsUniformAndKeptByAStream(t *testing.T) {
	const requests, tenths = 20_000, 10
	var counts [tenths]int
	for i := range requests {
		r := Request{ID: fmt.Sprintf("%x", i)}
		sample := r.backendSample()
		counts[int(sample*tenths)]++
		takenUp := Request{ID: "other", LastEvent: "3", BeganAs: r.ID}
		must.EqOp(t, sample, takenUp.backendSample())
	}
	for _, n := range counts {
		must.Between(t, requests/tenths*9/10, n, requests/tenths*11/10)
	}
}
