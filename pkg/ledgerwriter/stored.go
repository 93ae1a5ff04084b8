package ledgerwriter

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// maxReloads bounds the attempts to read a shard whose base changes meanwhile.
const maxReloads = 5

// sizes bounds the stored form of a shard, in bytes.
type sizes struct {
	// inline is the largest base that is stored in the head itself.
	inline int
	// chunk is the size of the objects that hold a base.
	chunk int
	// minLog and maxLog bound the deltas in a head. Between them a head holds up to 1/logShare of the base: the cost
	// of a write grows with the head, and the cost of a new base is spread over the deltas.
	minLog, maxLog int
	// hardLog is the size of a head at which a write without a new base is refused.
	hardLog int
}

const logShare = 8

func defaultSizes() sizes {
	return sizes{
		inline: 16 << 10, chunk: 768 << 10, minLog: 16 << 10, maxLog: 256 << 10, hardLog: platform.MaxValueBytes * 3 / 4,
	}
}

// stored is a shard as it was read or written.
type stored struct {
	state *ledger.Shard
	head  ledger.Head
	// value is the encoded head, revision its revision.
	value    []byte
	revision uint64
	// base is the size of the base in bytes.
	base int
	// chunks maps the keys of the base's objects to their revisions.
	chunks map[string]uint64
}

// load reads the shard. A shard that was never written is empty and has revision 0.
func (w *Writer) load(ctx context.Context, shard int) (*stored, error) {
	for range maxReloads {
		s, err := w.loadOnce(ctx, shard)
		// A missing chunk means that another writer has stored a new base after the head was read.
		if !errors.Is(err, platform.ErrNotFound) {
			return s, err
		}
	}
	return nil, fmt.Errorf("ledgerwriter: base of shard %d is not stored: %w", shard, platform.ErrUnavailable)
}

func (w *Writer) loadOnce(ctx context.Context, shard int) (*stored, error) {
	object, err := w.get(ctx, ledger.Key(shard))
	if errors.Is(err, platform.ErrNotFound) {
		return &stored{state: ledger.New()}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("ledgerwriter: read shard %d: %w", shard, err)
	}
	s := &stored{value: object.Value, revision: object.Revision, chunks: map[string]uint64{}}
	if s.head, err = ledger.DecodeHead(object.Value); err != nil {
		return nil, corrupt(shard, err)
	}
	var base []byte
	for _, key := range s.head.Chunks {
		chunk, err := w.get(ctx, key)
		if err != nil {
			return nil, fmt.Errorf("ledgerwriter: read base of shard %d: %w", shard, err)
		}
		base = append(base, chunk.Value...)
		s.chunks[key] = chunk.Revision
	}
	s.base = max(len(base), len(s.head.Inline))
	if s.state, err = s.head.Open(base); err != nil {
		return nil, corrupt(shard, err)
	}
	return s, nil
}

func corrupt(shard int, err error) error {
	log.WithError(err).WithField("shard", shard).Error("stored ledger shard can't be read")
	return fmt.Errorf("ledgerwriter: shard %d: %w", shard, err)
}

// extend adds what changed in the state to the head, and replaces the base if the head has become large.
func (t *task) extend(ctx context.Context) error {
	delta, err := t.stored.state.Delta()
	if err != nil {
		return err
	}
	if delta != nil {
		t.stored.head.Deltas = append(t.stored.head.Deltas, delta)
	}
	size, limit := t.stored.head.Size(), t.w.sizes.inline
	if len(t.stored.head.Chunks) > 0 {
		limit = min(t.w.sizes.maxLog, max(t.w.sizes.minLog, t.stored.base/logShare))
	}
	if size <= limit {
		return nil
	}
	err = t.rebase(ctx)
	if err != nil && size < t.w.sizes.hardLog {
		// The head can grow further; a later write tries again.
		log.WithError(err).WithField("shard", t.shard).Warn("new base of a ledger shard is not stored")
		return nil
	}
	return err
}

// rebase stores the whole state as a new base, without deltas. The head refers to it only once the head is written.
func (t *task) rebase(ctx context.Context) error {
	value, err := t.stored.state.Encode()
	if err != nil {
		return err
	}
	head := ledger.Head{}
	if len(value) <= t.w.sizes.inline/2 {
		head.Inline = value
	} else {
		for piece := range slices.Chunk(value, t.w.sizes.chunk) {
			key := ledger.Key(t.shard) + "/base/" + unique()
			// The key is recorded first, because the object may exist also after an error.
			t.unused[key] = 0
			t.w.limiter.charge()
			object, err := t.w.put(ctx, key, piece, 0)
			if err != nil {
				return fmt.Errorf("ledgerwriter: store base of shard %d: %w", t.shard, err)
			}
			t.unused[key] = object.Revision
			head.Chunks = append(head.Chunks, key)
		}
	}
	for key, revision := range t.stored.chunks {
		t.unused[key] = revision
	}
	t.stored.chunks = map[string]uint64{}
	for _, key := range head.Chunks {
		t.stored.chunks[key] = t.unused[key]
	}
	t.stored.head, t.stored.base = head, len(value)
	return nil
}

// unique returns a name that no other base has. Two writers may store a base from the same head.
func unique() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// sweep deletes the objects of former bases. It runs only after a write of this task has succeeded: the head is then
// known, and a delayed write of an older head can't take effect any more.
func (t *task) sweep(ctx context.Context) {
	for key, revision := range t.unused {
		if _, used := t.stored.chunks[key]; used {
			delete(t.unused, key)
			continue
		}
		t.w.limiter.charge()
		t.w.calls.deletes.Add(1)
		if err := t.w.remove(ctx, key, revision); err != nil {
			// The next write tries again, also if the object was changed or deleted meanwhile.
			t.unused[key] = 0
			return
		}
		delete(t.unused, key)
	}
}

// remove deletes an object that nobody refers to. A revision of 0 means that it is not known. The objects of bases
// are never written again, so a conflict means that another writer has deleted the object.
func (w *Writer) remove(ctx context.Context, key string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if revision == 0 {
		object, err := w.get(ctx, key)
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		revision = object.Revision
	}
	err := w.store.Delete(ctx, key, revision)
	if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}
