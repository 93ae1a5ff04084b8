package rendezvous

import (
	"fmt"
	"testing"
)

// BenchmarkRank measures the CPU time of ranking the routers of a fleet for one key.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{8, 64, 370} {
		ids := make([]string, n)
		for i := range ids {
			ids[i] = fmt.Sprintf("entry-%03d@1796367536807-9c6442c5", i)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				Rank("organisation-00001", ids)
			}
		})
	}
}
