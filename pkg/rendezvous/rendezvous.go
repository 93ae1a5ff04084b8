// Package rendezvous assigns keys to members by rendezvous (highest random weight) hashing.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type weightedID struct {
	id     string
	weight uint64
}

// Rank returns the ids ordered by their weight for the key, the key's owner first. Removing an id does not change
// the order of the others, so a change of membership moves only the keys of the member that left or joined.
func Rank(key string, ids []string) []string {
	ranked := make([]weightedID, len(ids))
	for i, id := range ids {
		ranked[i] = weightedID{id: id, weight: weight(key, id)}
	}
	slices.SortFunc(ranked, func(a, b weightedID) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	order := make([]string, len(ranked))
	for i, r := range ranked {
		order[i] = r.id
	}
	return order
}

// Score returns the score of an id with the given weight, which is above 0. The ids with the highest scores for a key own it; an id owns a
// part of the keys that is proportional to its weight.
func Score(key, id string, of float64) float64 {
	const steps = 1 << 53 // A float64 represents each integer up to it.
	uniform := (float64(weight(key, id)>>11) + 0.5) / steps
	return of / -math.Log(uniform)
}

func weight(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}
