package prompts

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// binEnds are the upper bounds of the uncached tokens of others in prefill by which requests are grouped; the last group has none.
var binEnds = []int{0, 2000, 6000, 12000}

// minKindRequests is the number of served requests from which a kind has rows of its own.
const minKindRequests = 50

// Group holds the requests of a kind that met a similar number of uncached tokens of others in prefill at their endpoint.
type Group struct {
	Requests int
	// First and Pause are milliseconds.
	First, Pause []float64
}

// Kind is the result of one kind of request.
type Kind struct {
	Name     string
	Groups   []Group
	Requests int
	// MeanTokens, MeanUncached and MeanBelieved are per request: of the prompt, not in the endpoint's cache, and not cached as the
	// router assumed.
	MeanTokens, MeanUncached, MeanBelieved float64
	// Late counts the requests with a late first event, Paused those with a longer pause than allowed.
	Late, Paused int
	// The causes of late first events, each alone enough: the wait at the router, the request's own uncached prompt, the longest
	// other prompt in prefill if it was long, all others together, and none of them.
	LateRouter, LateOwn, LateLong, LateOthers, LateElse int
	// PausedLong and PausedOthers count the pauses that the longest other prompt, if it was long, or all others together explain.
	PausedLong, PausedOthers int
}

// Result is what Analyse found.
type Result struct {
	Kinds []Kind
	// TokensPerMS are the prefill speeds of endpoints, by prompts that met no other prompt, in ascending order.
	TokensPerMS []float64
	// Spread is the number of uncached tokens at the busiest endpoint over the mean.
	Spread float64
	long   int
}

type prefill struct {
	*Request
	uncached int
}

// Analyse finds for each request which prompts were in prefill at its endpoint while it waited for its first event, and during its
// longest pause. A prompt of which the endpoint has got a shared part before is taken to have that part in its cache. long is the number of
// uncached tokens from which a prompt is long.
func Analyse(requests []Request, long int) Result {
	perEndpoint := map[string][]prefill{}
	seen := map[string]bool{}
	for i := range requests {
		r := &requests[i]
		uncached := r.Tokens
		for depth, part := range r.Parts {
			key := r.Endpoint + "/" + part
			if seen[key] && uncached == r.Tokens-endBefore(r, depth) && depth < len(r.PartEnds) {
				uncached = r.Tokens - r.PartEnds[depth]
			}
			seen[key] = true
		}
		perEndpoint[r.Endpoint] = append(perEndpoint[r.Endpoint], prefill{r, uncached})
	}
	result := Result{long: long}
	var totals []float64
	for _, list := range perEndpoint {
		total := 0
		for i, p := range list {
			total += p.uncached
			const minTokens = 2000 // Below it, steps and links are a large part of the time.
			if p.First > 0 && p.uncached >= minTokens && overlapping(list, i, p.Sent, p.First).total == 0 {
				result.TokensPerMS = append(result.TokensPerMS, float64(p.uncached)/(p.First-p.Sent))
			}
		}
		totals = append(totals, float64(total))
	}
	slices.Sort(result.TokensPerMS)
	result.Spread = slices.Max(append(totals, 0)) / max(1, mean(totals))
	speed := max(1, quantile(result.TokensPerMS, 0.5))
	kinds := map[string]*Kind{}
	for _, list := range perEndpoint {
		for i := range list {
			p := list[i]
			k := kinds[p.Kind]
			if k == nil {
				k = &Kind{Name: p.Kind, Groups: make([]Group, len(binEnds)+1)}
				kinds[p.Kind] = k
			}
			if p.First > 0 {
				k.add(list, i, speed, long)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		if k := kinds[name]; k.Requests >= minKindRequests {
			n := float64(k.Requests)
			k.MeanTokens, k.MeanUncached, k.MeanBelieved = k.MeanTokens/n, k.MeanUncached/n, k.MeanBelieved/n
			result.Kinds = append(result.Kinds, *k)
		}
	}
	return result
}

func endBefore(r *Request, depth int) int {
	if depth == 0 || depth > len(r.PartEnds) {
		return 0
	}
	return r.PartEnds[depth-1]
}

// load is what other requests prefilled in some time.
type load struct{ total, longest int }

// overlapping returns the uncached tokens of the other requests in list that were in prefill at some time between from and to.
func overlapping(list []prefill, self int, from, to float64) (l load) {
	for i, q := range list {
		end := q.First
		if end == 0 {
			end = q.End
		}
		if i != self && q.Sent < to && end > from {
			l.total += q.uncached
			l.longest = max(l.longest, q.uncached)
		}
	}
	return l
}

func (k *Kind) add(list []prefill, self int, speed float64, long int) {
	p := list[self]
	first := p.First - p.Arrived
	others := overlapping(list, self, p.Sent, p.First)
	bin, _ := slices.BinarySearch(binEnds, others.total)
	group := &k.Groups[bin]
	group.Requests++
	group.First = append(group.First, first)
	k.Requests++
	k.MeanTokens += float64(p.Tokens)
	k.MeanUncached += float64(p.uncached)
	k.MeanBelieved += float64(p.Tokens - p.Believed)
	if excess := first - p.Aim; p.Aim > 0 && excess > 0 {
		k.Late++
		switch {
		case p.Sent-p.Arrived >= excess:
			k.LateRouter++
		case others.longest >= long && float64(others.longest)/speed >= excess:
			k.LateLong++
		case float64(others.total)/speed >= excess:
			k.LateOthers++
		case float64(p.uncached)/speed >= excess:
			k.LateOwn++
		default:
			k.LateElse++
		}
	}
	if p.Pause <= 0 {
		return
	}
	group.Pause = append(group.Pause, p.Pause)
	if excess := p.Pause - p.PauseAim; p.PauseAim > 0 && excess > 0 {
		k.Paused++
		others := overlapping(list, self, p.PauseEnd-p.Pause, p.PauseEnd)
		switch {
		case others.longest >= long && float64(others.longest)/speed >= excess:
			k.PausedLong++
		case float64(others.total)/speed >= excess:
			k.PausedOthers++
		}
	}
}

// Write prints the result as tables.
func (r Result) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "kind\tothers' uncached tokens in prefill\trequests\tfirst event p50\tp95\tlongest pause p50\tp95")
	for _, k := range r.Kinds {
		for i, g := range k.Groups {
			fmt.Fprintf(t, "%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\n", k.Name, binName(i), g.Requests,
				quantile(g.First, 0.5), quantile(g.First, 0.95), quantile(g.Pause, 0.5), quantile(g.Pause, 0.95))
		}
	}
	fmt.Fprintf(t, "\nkind\trequests\ttokens\tuncached\tuncached as assumed\tfirst p50\tp95\tlate\trouter\tone long prompt (%d)\tall others\town prompt\telse\tpause p95\tpaused\tone long prompt\tall others\n", r.long)
	for _, k := range r.Kinds {
		var first, pauses []float64
		for _, g := range k.Groups {
			first, pauses = append(first, g.First...), append(pauses, g.Pause...)
		}
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%d\t%d\n", k.Name, k.Requests, k.MeanTokens, k.MeanUncached, k.MeanBelieved,
			quantile(first, 0.5), quantile(first, 0.95), k.Late, k.LateRouter, k.LateLong, k.LateOthers, k.LateOwn, k.LateElse, quantile(pauses, 0.95), k.Paused, k.PausedLong, k.PausedOthers)
	}
	_ = t.Flush() // An error of the terminal has nobody to be told.
	fmt.Fprintf(w, "\nprefill speed of prompts beside no other, tokens/ms: p10 %.1f, p50 %.1f, p90 %.1f (%d prompts); uncached tokens at the busiest endpoint over the mean: %.2f\n",
		quantile(r.TokensPerMS, 0.1), quantile(r.TokensPerMS, 0.5), quantile(r.TokensPerMS, 0.9), len(r.TokensPerMS), r.Spread)
}

func binName(i int) string {
	switch {
	case i == 0:
		return "none"
	case i == len(binEnds):
		return fmt.Sprintf("over %d", binEnds[i-1])
	}
	return strings.TrimSpace(fmt.Sprintf("to %d", binEnds[i]))
}

func compare(a, b float64) int { return cmp.Compare(a, b) }

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

// quantile returns the value below which the share q of the values lies, 0 without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
