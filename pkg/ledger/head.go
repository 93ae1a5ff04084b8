package ledger

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
)

// format is the version of the stored format.
const format = 1

// Head is the content of a shard's object: a base, in other objects or inline, and the changes since. A write adds
// one delta, so its size depends on what changed and not on the size of the shard.
type Head struct {
	// Chunks are the keys of the objects that hold the base.
	Chunks []string
	Inline []byte
	Deltas [][]byte
}

// Size returns the size of the encoded head in bytes, without a few bytes per part.
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
		Format: format, Chunks: h.Chunks, Inline: h.Inline, Deltas: h.Deltas,
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
	if in.Format != format {
		return Head{}, fmt.Errorf("%w: format %d", ErrCorrupt, in.Format)
	}
	return Head{Chunks: in.Chunks, Inline: in.Inline, Deltas: in.Deltas}, nil
}

// Open returns the shard of the head. base holds the joined values of its chunks. Errors wrap ErrCorrupt.
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
			return nil, fmt.Errorf("delta %d: %w", i, err)
		}
	}
	return s, nil
}
