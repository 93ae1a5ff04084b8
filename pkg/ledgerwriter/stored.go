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

// maxLoadAttempts limits the attempts to read a shard whose base is replaced during the read.
const maxLoadAttempts = 5

// sizeLimits are limits for the stored form of a shard, in bytes.
type sizeLimits struct {
	// maxInlineHead is the largest head whose base is not stored in separate objects. A base of up to half this size
	// is stored in the head itself.
	maxInlineHead int
	// chunkSize is the largest size of the objects into which a larger base is split.
	chunkSize int
	// The deltas of a base in separate objects may grow to 1/deltaDivisor of its size, with the lower bound
	// minDeltaSize and the upper bound maxDeltaSize. The cost of each write grows with the head, and the cost of a new
	// base is spread over the deltas before it.
	minDeltaSize, maxDeltaSize int
	// maxHeadSize is the size at which a head must not grow further: a write fails if no new base can be stored.
	maxHeadSize int
}

// deltaDivisor relates the size of the deltas in a head to the size of the base; see sizeLimits.
const deltaDivisor = 8

func defaultSizeLimits() sizeLimits {
	return sizeLimits{
		maxInlineHead: 16 << 10, chunkSize: 768 << 10, minDeltaSize: 16 << 10, maxDeltaSize: 256 << 10,
		maxHeadSize: platform.MaxValueBytes * 3 / 4,
	}
}

// storedShard is a shard as it was last read or written, with the operations applied since.
type storedShard struct {
	shard *ledger.Shard
	head  ledger.Head
	// value is the encoded head, revision the revision of its object.
	value    []byte
	revision uint64
	// baseSize is in bytes.
	baseSize int
	// chunkRevisions maps the keys of the base's objects to their revisions.
	chunkRevisions map[string]uint64
}

// load reads the shard. A shard that was never written is empty and has revision 0. It returns an error that wraps
// platform.ErrUnavailable if the base is missing in each attempt.
func (w *Writer) load(ctx context.Context, shard int) (*storedShard, error) {
	for range maxLoadAttempts {
		s, err := w.loadOnce(ctx, shard)
		// A missing chunk means that another writer replaced the base after the head was read.
		if !errors.Is(err, platform.ErrNotFound) {
			return s, err
		}
	}
	return nil, fmt.Errorf("ledgerwriter: missing base of shard %d: %w", shard, platform.ErrUnavailable)
}

func (w *Writer) loadOnce(ctx context.Context, shard int) (*storedShard, error) {
	object, err := w.get(ctx, ledger.Key(shard))
	if errors.Is(err, platform.ErrNotFound) {
		return &storedShard{shard: ledger.New()}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("ledgerwriter: read shard %d: %w", shard, err)
	}
	s := &storedShard{value: object.Value, revision: object.Revision, chunkRevisions: map[string]uint64{}}
	if s.head, err = ledger.DecodeHead(object.Value); err != nil {
		return nil, reportCorruptShard(shard, err)
	}
	var base []byte
	for _, key := range s.head.Chunks {
		chunk, err := w.get(ctx, key)
		if err != nil {
			return nil, fmt.Errorf("ledgerwriter: read base of shard %d: %w", shard, err)
		}
		base = append(base, chunk.Value...)
		s.chunkRevisions[key] = chunk.Revision
	}
	s.baseSize = max(len(base), len(s.head.Inline))
	if s.shard, err = s.head.Open(base); err != nil {
		return nil, reportCorruptShard(shard, err)
	}
	return s, nil
}

// reportCorruptShard logs that a stored shard can't be decoded and returns err wrapped.
func reportCorruptShard(shard int, err error) error {
	log.WithError(err).WithField("shard", shard).Error("failed to decode stored ledger shard")
	return fmt.Errorf("ledgerwriter: decode shard %d: %w", shard, err)
}

// extendHead appends the changes of the cached shard to its head as a delta, and replaces the base if the head has
// become too large.
func (t *task) extendHead(ctx context.Context) error {
	delta, err := t.cached.shard.Delta()
	if err != nil {
		return err
	}
	if delta != nil {
		t.cached.head.Deltas = append(t.cached.head.Deltas, delta)
	}
	size, limit := t.cached.head.Size(), t.writer.sizes.maxInlineHead
	if len(t.cached.head.Chunks) > 0 {
		limit = min(t.writer.sizes.maxDeltaSize, max(t.writer.sizes.minDeltaSize, t.cached.baseSize/deltaDivisor))
	}
	if size <= limit {
		return nil
	}
	err = t.replaceBase(ctx)
	if err != nil && size < t.writer.sizes.maxHeadSize {
		// The head can still grow; a later write tries again to store a base.
		log.WithError(err).WithField("shard", t.shard).Warn("failed to store new base of ledger shard")
		return nil
	}
	return err
}

// replaceBase stores the whole shard as a new base and prepares a head without deltas. The new base takes effect only
// when that head is written.
func (t *task) replaceBase(ctx context.Context) error {
	value, err := t.cached.shard.Encode()
	if err != nil {
		return err
	}
	head := ledger.Head{}
	if len(value) <= t.writer.sizes.maxInlineHead/2 {
		head.Inline = value
	} else {
		for piece := range slices.Chunk(value, t.writer.sizes.chunkSize) {
			key := ledger.Key(t.shard) + "/base/" + uniqueName()
			// The key is recorded before the write, because the object may exist even after an error.
			t.unusedObjects[key] = 0
			t.writer.limiter.charge()
			object, err := t.writer.put(ctx, key, piece, 0)
			if err != nil {
				return fmt.Errorf("ledgerwriter: store base of shard %d: %w", t.shard, err)
			}
			t.unusedObjects[key] = object.Revision
			head.Chunks = append(head.Chunks, key)
		}
	}
	for key, revision := range t.cached.chunkRevisions {
		t.unusedObjects[key] = revision
	}
	t.cached.chunkRevisions = map[string]uint64{}
	for _, key := range head.Chunks {
		t.cached.chunkRevisions[key] = t.unusedObjects[key]
	}
	t.cached.head, t.cached.baseSize = head, len(value)
	return nil
}

// uniqueName returns a name that no other base object has. It is random, because two writers may store different bases
// that start from the same head.
func uniqueName() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// deleteUnusedObjects deletes the base objects to which the stored head does not refer. It must run only after a write
// of this task has succeeded: the stored head is then known, and a delayed write of an older head can no longer take
// effect.
func (t *task) deleteUnusedObjects(ctx context.Context) {
	for key, revision := range t.unusedObjects {
		if _, used := t.cached.chunkRevisions[key]; used {
			delete(t.unusedObjects, key)
			continue
		}
		t.writer.limiter.charge()
		t.writer.calls.deletes.Add(1)
		if err := t.writer.deleteObject(ctx, key, revision); err != nil {
			// The next write tries again and reads the revision first, because the object may have been changed or
			// deleted meanwhile.
			t.unusedObjects[key] = 0
			return
		}
		delete(t.unusedObjects, key)
	}
}

// deleteObject deletes an object of an unused base. It reads the revision first if the given one is 0. The objects of
// bases are never overwritten, so a conflict means that another writer has deleted the object.
func (w *Writer) deleteObject(ctx context.Context, key string, revision uint64) error {
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
