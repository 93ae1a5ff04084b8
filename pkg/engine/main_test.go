package engine

import (
	"errors"
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func asRefused(err error, refused **RefusedError) bool { return errors.As(err, refused) }
