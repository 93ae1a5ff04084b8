package route

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// points returns the number of points of an endpoint on its pool's ring. More points make the shares more even,
// which matters less in a large pool; fewer keep 32 rings of 4,500 endpoints at about 2 MB.
func points(endpoints int) int {
	switch {
	case endpoints <= 256:
		return 16
	case endpoints <= 1024:
		return 4
	}
	return 1
}

type point struct {
	hash     uint64
	endpoint *endpoint
}

// rebuild makes the consistent-hashing ring of the pool after a change of its endpoints. All routers compute the
// same ring, so they place a prefix at the same endpoints without knowing each other's work.
func (p *pool) rebuild() {
	p.ring = p.ring[:0]
	var key [4]byte
	var d xxhash.Digest
	n := points(len(p.all))
	for _, e := range p.all {
		for i := range n {
			binary.LittleEndian.PutUint32(key[:], uint32(i))
			d.Reset()
			_, _ = d.WriteString(e.vm.Name)
			_, _ = d.Write(key[:])
			p.ring = append(p.ring, point{hash: d.Sum64(), endpoint: e})
		}
	}
	slices.SortFunc(p.ring, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.endpoint.vm.Name, b.endpoint.vm.Name))
	})
	p.ringValid = true
}

// ringBlock is the index of the block whose hash places a prompt on the ring. The first block alone is often the same for
// all prompts of a service.
const ringBlock = 1

// drawRing adds the first usable endpoints that follow the prompt's place on the ring.
func (t *Table) drawRing(into []considered, at time.Duration, p *pool, r *Request) []considered {
	const maxSteps = 64
	if len(r.Blocks) == 0 || t.options.RingCandidates <= 0 {
		return into
	}
	if !p.ringValid {
		p.rebuild()
	}
	key := r.Blocks[min(ringBlock, len(r.Blocks)-1)]
	start, _ := slices.BinarySearchFunc(p.ring, key, func(a point, key uint64) int { return cmp.Compare(a.hash, key) })
	want, first := len(into)+t.options.RingCandidates, true
	for i := range min(maxSteps, len(p.ring)) {
		e := p.ring[(start+i)%len(p.ring)].endpoint
		if len(into) == want {
			break
		}
		if !e.openIn(p) || !usable(e, r) {
			continue
		}
		depth := t.prefix.depth(at, e, r.Blocks)
		if first && t.options.AssumeRingCacheHit {
			depth = len(r.Blocks)
		}
		first = false
		if i := slices.IndexFunc(into, func(c considered) bool { return c.endpoint == e }); i >= 0 {
			into[i].depth = max(into[i].depth, depth)
			want--
			continue
		}
		into = append(into, considered{endpoint: e, depth: depth})
	}
	return into
}
