package roster

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, unless the command line has one, so that each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	seedSet := false
	flag.Visit(func(f *flag.Flag) { seedSet = seedSet || f.Name == "rapid.seed" })
	if !seedSet {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
