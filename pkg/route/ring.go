package route

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pointsPerEndpoint returns the number of points of an endpoint on the ring of a pool with that many endpoints. More
// points make the shares more even, which matters less in a large pool; fewer keep 32 rings of 4,500 endpoints at about
// 2 MB.
func pointsPerEndpoint(endpoints int) int {
	switch {
	case endpoints <= 256:
		return 16
	case endpoints <= 1024:
		return 4
	}
	return 1
}

type ringPoint struct {
	hash     uint64
	endpoint *endpoint
}

// rebuildRing computes the consistent-hashing ring of the pool after a change of its endpoints. All routers compute the
// same ring, so they send a prefix to the same endpoints without information about each other's requests.
func (p *pool) rebuildRing() {
	p.ring = p.ring[:0]
	var key [4]byte
	var d xxhash.Digest
	n := pointsPerEndpoint(len(p.all))
	for _, e := range p.all {
		for i := range n {
			binary.LittleEndian.PutUint32(key[:], uint32(i))
			d.Reset()
			_, _ = d.WriteString(e.vm.Name)
			_, _ = d.Write(key[:])
			p.ring = append(p.ring, ringPoint{hash: d.Sum64(), endpoint: e})
		}
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.endpoint.vm.Name, b.endpoint.vm.Name))
	})
	p.ringValid = true
}

// ringBlock is the index in Request.Blocks of the hash that places a prompt on the ring. The first block alone is often
// the same for all prompts of a service.
const ringBlock = 1

// appendRingCandidates appends the first open, usable endpoints that follow the prompt's hash on the ring.
func (t *Table) appendRingCandidates(now time.Time, into []candidate, elapsed time.Duration, p *pool, r *Request) []candidate {
	const maxSteps = 64
	if len(r.Blocks) == 0 || t.options.RingCandidates <= 0 {
		return into
	}
	if !p.ringValid {
		p.rebuildRing()
	}
	key := r.Blocks[min(ringBlock, len(r.Blocks)-1)]
	start, _ := slices.BinarySearchFunc(p.ring, key, func(a ringPoint, key uint64) int { return cmp.Compare(a.hash, key) })
	// While the other routers' work is known, the index has what they have sent. What it had before is still right after a gap.
	fleetWork := t.knowsFleetWork(now) || !t.peerWorkAt.IsZero() && t.prefix.maxDepth(elapsed, r.Blocks) == len(r.Blocks)
	want, firstUsable := len(into)+t.options.RingCandidates, true
	for i := range min(maxSteps, len(p.ring)) {
		e := p.ring[(start+i)%len(p.ring)].endpoint
		if len(into) == want {
			break
		}
		if !e.isOpenIn(p) || !isUsable(e, r) {
			continue
		}
		depth := t.prefix.depth(elapsed, e, r.Blocks)
		if firstUsable && t.options.AssumeRingCacheHit && !fleetWork {
			depth = len(r.Blocks)
		}
		firstUsable = false
		if i := slices.IndexFunc(into, func(c candidate) bool { return c.endpoint == e }); i >= 0 {
			into[i].depth = max(into[i].depth, depth)
			want--
			continue
		}
		into = append(into, candidate{endpoint: e, depth: depth})
	}
	return into
}
