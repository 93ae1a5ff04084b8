package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// crashDay merges the reports of crashes into a record set.
type crashDay struct {
	set *RecordSet
	now time.Time
}

func newCrashDay() *crashDay { return &crashDay{set: NewRecordSet(registryRules), now: start} }

// crash reports the crash of a run while the requests were there. The answer to the first one had begun.
func (d *crashDay) crash(run string, requests ...[]Feature) {
	for i, features := range requests {
		whole := features[len(features)-1].Fingerprint.BodyHash
		for _, f := range features {
			c := Crash{VM: run, Observer: fmt.Sprintf("r%d", i%5), At: d.now, Request: whole, Begun: i == 0}
			d.set.Merge(d.now, Record{Fingerprint: f.Fingerprint, Depth: f.Depth, Label: f.Name, Crashes: []Crash{c}})
		}
	}
}

func (d *crashDay) complete(features []Feature) {
	for _, f := range features {
		d.set.Merge(d.now, Record{Fingerprint: f.Fingerprint, ClearedAt: d.now.Add(time.Millisecond)})
	}
}

func (d *crashDay) culprits() map[Fingerprint]int {
	return findCulprits(d.now, d.set.all(), registryRules)
}

// request returns the features of a request with the parts; id makes it different from others.
func request(id uint64, parts ...uint64) []Feature {
	var features []Feature
	for depth, p := range parts {
		features = append(features, Feature{Fingerprint: Fingerprint{BodyHash: p}, Depth: depth, Name: fmt.Sprintf("part %d", p)})
	}
	return append(features, Feature{Fingerprint: Fingerprint{Organisation: "o", BodyHash: 1<<32 + id}, Depth: DepthOfRequest, Name: "request"})
}

// Guards against naming a part or a request that only was at the engines when these crashed. Replays days on which an engine
// crashes every 0.4 to 1.2 s: 10 to 30 other requests are there, with the culprit's first part, with one of a few other
// parts, or sent again after the crash before; between two crashes a part of the others completes.
func TestSharedPartIsFoundAmongOthers(t *testing.T) {
	const firstPart, culprit = 1, 99
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		d := newCrashDay()
		id := uint64(0)
		var sentAgain [][]Feature
		for n := 1; n <= 6; n++ {
			id++
			running := [][]Feature{request(id, firstPart, culprit)}
			for range 10 + rng.IntN(20) {
				id++
				running = append(running, request(id, firstPart+rng.Uint64N(3), 100+rng.Uint64N(12)))
			}
			running = append(running, sentAgain...)
			d.crash(fmt.Sprintf("e%d", n), running...)
			if n >= registryStopAfter {
				must.MapLen(t, 1, d.culprits(), must.Sprintf("seed %d, crash %d", seed, n))
				must.MapContainsKey(t, d.culprits(), Fingerprint{BodyHash: culprit})
			}
			d.now = d.now.Add(400*time.Millisecond + time.Duration(rng.IntN(800))*time.Millisecond)
			sentAgain = nil
			for _, r := range running[1:] {
				if rng.IntN(3) > 0 {
					d.complete(r)
				} else {
					sentAgain = append(sentAgain, r)
				}
			}
		}
	}
}

// Guards against stopping a popular part because a rack with several engines was lost at once.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	d := newCrashDay()
	for i := range uint64(9) {
		d.crash(fmt.Sprintf("e%d", i), request(i, 1, 2), request(100+i, 1, 3))
		d.now = d.now.Add(15 * time.Millisecond)
	}
	must.MapEmpty(t, d.culprits())
}

// Guards against sending a crashing request a third time, and against stopping the parts that it shares with others.
func TestRepeatedRequestIsStoppedAlone(t *testing.T) {
	d := newCrashDay()
	for i := range 4 {
		d.crash(fmt.Sprintf("e%d", i), request(1, 1, 2))
		d.now = d.now.Add(time.Second)
		if i >= 1 {
			must.Eq(t, map[Fingerprint]int{{Organisation: "o", BodyHash: 1<<32 + 1}: i + 1}, d.culprits())
		}
	}
}

// Guards against counting one crash twice because the clocks of its observers differ by seconds.
func TestClocksDoNotMultiplyCrashes(t *testing.T) {
	d := newCrashDay()
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, 7 * time.Second} {
		d.now = start.Add(step)
		d.crash("e1", request(1, 1, 2), request(2, 1, 2))
	}
	must.MapEmpty(t, d.culprits())
}
