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
	retryPause   = 200 * time.Millisecond
)

type budgetName struct{ organisation, budget string }

// Ledger follows all versions of the ledger's shards at the platform. It decodes the stored form itself, so that the
// routers' own code for books is not part of the observations.
type Ledger struct {
	store platform.Store

	mu          sync.Mutex
	budgets     map[budgetName]observation.Budget
	grants      map[budgetName]map[string]int64
	heads       map[string]*ledgerv1.HeadState
	chunks      map[string][]byte
	settlements []observation.Settlement
	topUps      []observation.TopUp
	gaps        int
}

// NewLedger returns a follower.
func NewLedger(store platform.Store) *Ledger {
	return &Ledger{
		store: store, budgets: map[budgetName]observation.Budget{}, grants: map[budgetName]map[string]int64{},
		heads: map[string]*ledgerv1.HeadState{}, chunks: map[string][]byte{},
	}
}

// Run follows the shards until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	after, listed := uint64(0), false
	for ctx.Err() == nil {
		var objects []platform.Object
		var err error
		if listed {
			objects, after, err = l.poll(ctx, after)
			listed = err == nil || !errors.Is(err, platform.ErrGap)
		} else {
			objects, after, err = l.store.List(ctx, ledgerPrefix)
			listed = err == nil
		}
		if err != nil {
			sleep.For(ctx, retryPause)
			continue
		}
		l.takeAll(objects)
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

// takeAll takes the chunks first, because a list is sorted by key and not by time.
func (l *Ledger) takeAll(objects []platform.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range objects {
		if !isHead(o.Key) && !o.Deleted {
			l.chunks[o.Key] = o.Value
		}
	}
	for _, o := range objects {
		if isHead(o.Key) && !o.Deleted {
			l.takeHead(o)
		}
	}
	for _, o := range objects {
		if o.Deleted {
			delete(l.chunks, o.Key)
		}
	}
}

// isHead reports whether the key is that of a shard and not of a part of its base.
func isHead(key string) bool {
	_, err := strconv.Atoi(strings.TrimPrefix(key, ledgerPrefix))
	return err == nil
}

// takeHead compares a version of a shard with the version before it.
func (l *Ledger) takeHead(object platform.Object) {
	head := &ledgerv1.HeadState{}
	if proto.Unmarshal(object.Value, head) != nil {
		return
	}
	before := l.heads[object.Key]
	l.heads[object.Key] = head
	deltas := head.Deltas
	if before != nil && slices.Equal(before.Chunks, head.Chunks) && bytes.Equal(before.Inline, head.Inline) && len(deltas) >= len(before.Deltas) {
		deltas = deltas[len(before.Deltas):]
	} else {
		l.takeState(l.base(head), true)
	}
	for _, d := range deltas {
		l.takeState(d, false)
	}
}

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

// takeState takes a base, which is complete, or a delta, which holds what changed.
func (l *Ledger) takeState(value []byte, complete bool) {
	state := &ledgerv1.ShardState{}
	if proto.Unmarshal(value, state) != nil {
		return
	}
	for _, org := range state.Organisations {
		for _, b := range org.Budgets {
			l.takeGrants(budgetName{org.Id, b.Name}, b, state.Names, complete)
			l.takeBudget(org.Id, b)
		}
	}
}

func (l *Ledger) takeGrants(name budgetName, b *ledgerv1.BudgetState, names []string, complete bool) {
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

func (l *Ledger) takeBudget(organisation string, b *ledgerv1.BudgetState) {
	name := budgetName{organisation, b.Name}
	before := l.budgets[name]
	now := observation.Budget{
		Organisation: organisation, Name: b.Name, ToppedUp: b.ToppedUp, Settled: b.Settled, Holders: len(l.grants[name]),
		Bills: before.Bills,
	}
	if now.Bills == nil {
		now.Bills = map[uint64]bool{}
	}
	for _, tokens := range l.grants[name] {
		now.Granted += tokens
	}
	var added []uint64
	for _, key := range b.BillKeys {
		if !now.Bills[key] {
			now.Bills[key] = true
			added = append(added, key)
		}
	}
	if grown := b.Settled - before.Settled; grown != 0 || len(added) > 0 {
		l.settlements = append(l.settlements, observation.Settlement{Organisation: organisation, Budget: b.Name, Tokens: grown, Bills: added})
	}
	if b.ToppedUp != before.ToppedUp {
		l.topUps = append(l.topUps, observation.TopUp{Organisation: organisation, Budget: b.Name, At: time.Now(), Total: b.ToppedUp})
	}
	l.budgets[name] = now
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

// Fill puts what was seen into the observations.
func (l *Ledger) Fill(e *observation.Observations) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.budgets {
		e.Budgets = append(e.Budgets, b)
	}
	e.Settlements, e.TopUps = l.settlements, l.topUps
	if l.gaps > 0 {
		e.Lost = append(e.Lost, fmt.Sprintf("ledger: %d gaps in the watch; several versions count as one there", l.gaps))
	}
}
