package vmlist

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// BenchmarkDecode measures the CPU time of decoding a VM list, and reports its size in bytes.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{20, 500, 4870} {
		var list platform.WireVMs
		for i := range n {
			list.VMs = append(list.VMs, platform.VM{
				Name: fmt.Sprintf("engine-%04d", i), Region: "region-1", Zone: "zone-1a", Role: platform.RoleEngine,
				State: platform.VMLive, Address: fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250),
				Models: []string{fmt.Sprintf("model-%02d", i%32)}, Fencing: platform.FencingEnforced,
			})
		}
		data, err := json.Marshal(list)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var decoded platform.WireVMs
				if err := json.Unmarshal(data, &decoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
