package ledger

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
)

// headFormat is the version of the stored format of a Head.
const headFormat = 1

// Head is the value stored under a shard's Key. It consists of a base, which is an encoded shard kept inline or in
// other objects, and the deltas since. A write adds one delta, so its size depends on the changes and not on the size
// of the shard.
type Head struct {
	// Chunks lists the keys of the objects that hold the base, in order. If it is empty, Inline is the base.
	Chunks []string
	Inline []byte
	Deltas [][]byte
}

// Size returns the size of the inline base and the deltas in bytes. Chunk keys and a few bytes of framing per part are
// not counted.
func (h Head) Size() int {
	n := len(h.Inline)
	for _, d := range h.Deltas {
		n += len(d)
	}
	return n
}

// Encode returns the stored form.
func (h Head) Encode() ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&ledgerv1.HeadState{
		Format: headFormat, Chunks: h.Chunks, Inline: h.Inline, Deltas: h.Deltas,
	})
	if err != nil {
		return nil, fmt.Errorf("ledger: encode head: %w", err)
	}
	return value, nil
}

// DecodeHead returns the head stored in value. Errors wrap ErrCorrupt.
func DecodeHead(value []byte) (Head, error) {
	in := &ledgerv1.HeadState{}
	if err := proto.Unmarshal(value, in); err != nil {
		return Head{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if in.Format != headFormat {
		return Head{}, fmt.Errorf("%w: unknown format %d", ErrCorrupt, in.Format)
	}
	return Head{Chunks: in.Chunks, Inline: in.Inline, Deltas: in.Deltas}, nil
}

// Open decodes the base, applies the deltas and returns the shard. base is the concatenation of the chunks' values; it
// is ignored if there are no chunks. Errors wrap ErrCorrupt.
func (h Head) Open(base []byte) (*Shard, error) {
	if len(h.Chunks) == 0 {
		base = h.Inline
	}
	s, err := Decode(base)
	if err != nil {
		return nil, err
	}
	for i, d := range h.Deltas {
		if err := s.merge(d); err != nil {
			return nil, fmt.Errorf("merge delta %d: %w", i, err)
		}
	}
	return s, nil
}
