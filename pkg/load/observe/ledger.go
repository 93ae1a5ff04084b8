package observe

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	ledgerPrefix = "ledger/"
	pollWait     = time.Second
	retryDelay   = 200 * time.Millisecond
)

type budgetName struct{ organisation, budget string }

// Ledger watches all versions of the ledger's shards at the platform. It decodes the stored form itself, so that the
// observations do not depend on the ledger code of the routers. Billed may be called while Run is running; Fill shares
// data with the Ledger and is for use after Run has returned.
type Ledger struct {
	store platform.Store

	mu          sync.Mutex
	budgets     map[budgetName]observation.Budget
	grants      map[budgetName]map[string]int64
	heads       map[string]*ledgerv1.HeadState
	chunks      map[string][]byte
	settlements []observation.Settlement
	topUps      []observation.TopUp
	// gaps counts the times at which the store no longer had all versions since the last poll.
	gaps int
}

// NewLedger returns an observer of the ledger in the store. Run starts the watch.
func NewLedger(store platform.Store) *Ledger {
	return &Ledger{
		store: store, budgets: map[budgetName]observation.Budget{}, grants: map[budgetName]map[string]int64{},
		heads: map[string]*ledgerv1.HeadState{}, chunks: map[string][]byte{},
	}
}

// Run watches the shards until ctx ends. It lists them first, and again after a gap in the watch.
func (l *Ledger) Run(ctx context.Context) {
	after, hasList := uint64(0), false
	for ctx.Err() == nil {
		var objects []platform.Object
		var err error
		if hasList {
			objects, after, err = l.poll(ctx, after)
			hasList = err == nil || !errors.Is(err, platform.ErrGap)
		} else {
			objects, after, err = l.store.List(ctx, ledgerPrefix)
			hasList = err == nil
		}
		if err != nil {
			sleep.For(ctx, retryDelay)
			continue
		}
		l.applyObjects(objects)
	}
}

func (l *Ledger) poll(ctx context.Context, after uint64) ([]platform.Object, uint64, error) {
	objects, next, err := l.store.Poll(ctx, ledgerPrefix, after, pollWait)
	if err != nil {
		if errors.Is(err, platform.ErrGap) {
			l.mu.Lock()
			l.gaps++
			l.mu.Unlock()
		}
		return nil, after, err
	}
	return objects, next, nil
}

// applyObjects stores the chunks before it applies the heads, because a list is sorted by key and not by time.
func (l *Ledger) applyObjects(objects []platform.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range objects {
		if !isHead(o.Key) && !o.Deleted {
			l.chunks[o.Key] = o.Value
		}
	}
	for _, o := range objects {
		if isHead(o.Key) && !o.Deleted {
			l.applyHead(o)
		}
	}
	for _, o := range objects {
		if o.Deleted {
			delete(l.chunks, o.Key)
		}
	}
}

// isHead reports whether the key belongs to the head of a shard, and not to a chunk of its base.
func isHead(key string) bool {
	_, err := strconv.Atoi(strings.TrimPrefix(key, ledgerPrefix))
	return err == nil
}

// applyHead applies the deltas that this version of a shard added, or the whole version if the base changed.
func (l *Ledger) applyHead(object platform.Object) {
	head := &ledgerv1.HeadState{}
	if proto.Unmarshal(object.Value, head) != nil {
		return
	}
	previous := l.heads[object.Key]
	l.heads[object.Key] = head
	deltas := head.Deltas
	if previous != nil && slices.Equal(previous.Chunks, head.Chunks) && bytes.Equal(previous.Inline, head.Inline) && len(deltas) >= len(previous.Deltas) {
		deltas = deltas[len(previous.Deltas):]
	} else {
		l.applyState(l.base(head), true)
	}
	for _, d := range deltas {
		l.applyState(d, false)
	}
}

// base returns the encoded base of a shard, which is stored in the head itself or in chunks.
func (l *Ledger) base(head *ledgerv1.HeadState) []byte {
	if len(head.Chunks) == 0 {
		return head.Inline
	}
	var base []byte
	for _, key := range head.Chunks {
		base = append(base, l.chunks[key]...)
	}
	return base
}

// applyState applies a base, which is complete, or a delta, which holds only changes.
func (l *Ledger) applyState(value []byte, complete bool) {
	state := &ledgerv1.ShardState{}
	if proto.Unmarshal(value, state) != nil {
		return
	}
	for _, org := range state.Organisations {
		for _, b := range org.Budgets {
			l.applyGrants(budgetName{org.Id, b.Name}, b, state.Names, complete)
			l.applyBudget(org.Id, b)
		}
	}
}

// applyGrants updates the grants of a budget. A grant of 0 tokens removes the holder.
func (l *Ledger) applyGrants(name budgetName, b *ledgerv1.BudgetState, names []string, complete bool) {
	if complete || l.grants[name] == nil {
		l.grants[name] = map[string]int64{}
	}
	for i, holder := range b.GrantHolders {
		if b.GrantTokens[i] == 0 {
			delete(l.grants[name], names[holder])
			continue
		}
		l.grants[name][names[holder]] = b.GrantTokens[i]
	}
}

// applyBudget updates a budget and records changes of its settled and topped-up tokens. Bills accumulate here, while
// the ledger removes old ones.
func (l *Ledger) applyBudget(organisation string, b *ledgerv1.BudgetState) {
	name := budgetName{organisation, b.Name}
	previous := l.budgets[name]
	updated := observation.Budget{
		Organisation: organisation, Name: b.Name, ToppedUp: b.ToppedUp, Settled: b.Settled, Holders: len(l.grants[name]),
		Bills: previous.Bills,
	}
	if updated.Bills == nil {
		updated.Bills = map[uint64]bool{}
	}
	for _, tokens := range l.grants[name] {
		updated.Granted += tokens
	}
	var added []uint64
	for _, key := range b.BillKeys {
		if !updated.Bills[key] {
			updated.Bills[key] = true
			added = append(added, key)
		}
	}
	if growth := b.Settled - previous.Settled; growth != 0 || len(added) > 0 {
		l.settlements = append(l.settlements, observation.Settlement{Organisation: organisation, Budget: b.Name, Tokens: growth, Bills: added})
	}
	if b.ToppedUp != previous.ToppedUp {
		l.topUps = append(l.topUps, observation.TopUp{Organisation: organisation, Budget: b.Name, At: time.Now(), Total: b.ToppedUp})
	}
	l.budgets[name] = updated
}

// Billed reports whether the ledger holds a bill of the request.
func (l *Ledger) Billed(organisation, key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	hash := observation.BillKey(organisation, key)
	for name, b := range l.budgets {
		if name.organisation == organisation && b.Bills[hash] {
			return true
		}
	}
	return false
}

// Fill adds the budgets, settlements, top-ups and gaps to the observations.
func (l *Ledger) Fill(observations *observation.Observations) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.budgets {
		observations.Budgets = append(observations.Budgets, b)
	}
	observations.Settlements, observations.TopUps = l.settlements, l.topUps
	if l.gaps > 0 {
		observations.Unobserved = append(observations.Unobserved, fmt.Sprintf("ledger: %d gaps in the watch; several versions count as one there", l.gaps))
	}
}
