// Command play runs one case of the review: it starts lsentry processes, a store, engines and clients, and checks a rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
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
	rate := flag.Int("rate", 4, "chaos: one in so many answers of engines is disturbed")
	cut := flag.Bool("cut", false, "chaos: cut the links of routers to the engines")
	signals := flag.String("signals", "", "chaos: all or term sends signals to the routers")
	silent := flag.Bool("silent", false, "chaos: make the store silent now and then")
	flag.Parse()
	switch *name {
	case "chaos":
		runChaos(*seed, *seconds, chaosOptions{rate: *rate, cut: *cut, signals: *signals, silent: *silent})
	case "idle":
		runIdle(*trouble, *dir, *seconds)
	case "refused":
		runFaulty(*trouble, *dir, dose{faults: []string{"busy"}, engines: map[string]int{"rides": 1}, share: 0.4, length: 6500 * time.Millisecond, times: 1}, checkRefused)
	case "order":
		runFaulty(*trouble, *dir, dose{faults: []string{"half"}, engines: map[string]int{"desk": 3}, share: 0.02, length: 5500 * time.Millisecond, times: 5}, checkOrder)
	case "mixed":
		runFaulty(*trouble, *dir, dose{faults: []string{"unsigned", "encoded"}, engines: map[string]int{"desk": 3, "rides": 1}, share: 0.02, length: 5500 * time.Millisecond, times: 5}, checkMixed)
	default:
		fail("unknown case %q", *name)
	}
}
