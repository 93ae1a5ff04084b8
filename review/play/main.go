// Command play runs one case of the review: it starts lsentry processes, a store, engines and clients, and checks a rule.
package main

import (
	"flag"
	"fmt"
	"os"
)

// fail ends the command because the case couldn't run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

func main() {
	name := flag.String("case", "", "name of the case")
	seed := flag.Uint64("seed", 1, "seed")
	seconds := flag.Int("seconds", 20, "length")
	dir := flag.String("dir", ".", "folder of the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	switch *name {
	case "chaos":
		runChaos(*seed, *seconds)
	case "idle":
		runIdle(*trouble, *dir, *seconds)
	default:
		fail("unknown case %q", *name)
	}
}
