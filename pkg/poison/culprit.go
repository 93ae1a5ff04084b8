package poison

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// suspect is a fingerprint with the crashes that may be its fault, one report for each.
type suspect struct {
	fingerprint Fingerprint
	depth       int
	crashes     []Crash
	// stopAfter is the number of crashes after which the fingerprint is stopped.
	stopAfter int
	// begun is the number of crashes at which an answer to a request with the fingerprint had begun.
	begun int
	// shared is set if several requests that were running at the crashes had the fingerprint.
	shared bool
}

// findCulprits returns the fewest fingerprints that explain the crashes, with the number of crashes of each. A fingerprint
// is one of them if it was present at enough independent crashes that no other one explains; of several with as many
// crashes, the most likely one is.
//
// It answers requests that crash one engine after the other beside many requests that share the caller, the first part of
// the prompt, or only the engine: at each crash these are present as well, some of them at most crashes.
func findCulprits(now time.Time, records iter.Seq[*Record], rules Rules) map[Fingerprint]int {
	var suspects []suspect
	for r := range records {
		if len(r.Crashes) < min(rules.StopAfter, rules.StopRequestAfter) {
			continue
		}
		if s := newSuspect(now, r, rules); countIndependent(s.crashes, rules.Independent) >= s.stopAfter {
			suspects = append(suspects, s)
		}
	}
	culprits := map[Fingerprint]int{}
	explained := map[string]bool{}
	for {
		best, most := suspect{}, 0
		for _, s := range suspects {
			unexplained := slices.DeleteFunc(slices.Clone(s.crashes), func(c Crash) bool { return explained[c.VM] })
			n := countIndependent(unexplained, rules.Independent)
			if n >= s.stopAfter && (n > most || n == most && isMoreLikely(s, best)) {
				best, most = s, n
			}
		}
		if most == 0 {
			return culprits
		}
		culprits[best.fingerprint] = countIndependent(best.crashes, rules.Independent)
		for _, c := range best.crashes {
			explained[c.VM] = true
		}
	}
}

func newSuspect(now time.Time, r *Record, rules Rules) suspect {
	s := suspect{fingerprint: r.Fingerprint, depth: r.Depth, crashes: r.distinctCrashes(now, rules.SameCrash), stopAfter: rules.StopAfter}
	if r.Depth == DepthOfRequest {
		s.stopAfter = rules.StopRequestAfter
	}
	begun := map[string]bool{}
	reports := slices.Collect(r.countingReports(now))
	for _, c := range reports {
		s.shared = s.shared || c.Request != reports[0].Request
		if c.Begun {
			begun[c.VM] = true
		}
	}
	s.begun = len(begun)
	return s
}

// isMoreLikely orders suspects with the same number of crashes. Engines crash as they begin an answer, and most other
// requests at a crash wait or have events already. Next come parts that several requests had in common, then whole
// requests, then parts of which one request is known, which that request explains as well. The deeper part of a prompt is
// shared by fewer requests. The hash makes all routers agree on the rest.
func isMoreLikely(a, b suspect) bool {
	return cmp.Or(
		cmp.Compare(a.begun, b.begun), cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.depth, b.depth),
		cmp.Compare(a.fingerprint.BodyHash, b.fingerprint.BodyHash),
	) > 0
}

func (s suspect) rank() int {
	switch {
	case s.depth == DepthOfRequest:
		return 1
	case s.shared:
		return 2
	}
	return 0
}
