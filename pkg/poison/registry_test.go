package poison

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// registryFleet runs registries on one store.
type registryFleet struct {
	memory     *memstore.Store
	store      platform.Store
	feedDelay  time.Duration
	registries []*Registry
}

// Times after which the others see what a router has written: the usual one, and one for tests that last for hours.
const (
	fleetFeedDelay = 300 * time.Millisecond
	slowFeedDelay  = 4 * time.Second
)

// runRegistries runs f with n registries in a bubble with a fake clock.
func runRegistries(t *testing.T, n int, feedDelay time.Duration, f func(fleet *registryFleet)) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		fleet := &registryFleet{memory: memory, store: memory.Client("fleet"), feedDelay: feedDelay}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range n {
			fleet.start(ctx, fmt.Sprintf("vm%d", i))
		}
		f(fleet)
	})
}

func (f *registryFleet) start(ctx context.Context, vm string) {
	r := NewRegistry(RegistryOptions{
		Store: f.store, VM: vm, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		IsFirst: func(string) bool { return vm == "vm0" },
	})
	f.registries = append(f.registries, r)
	go r.Run(ctx)
	go func() {
		for {
			objects, _, err := f.store.List(ctx, RegistryKind+"/")
			if err != nil {
				return // The test has ended.
			}
			r.ReplaceAll(objects, 0)
			sleep.For(ctx, f.feedDelay/2)
		}
	}()
}

func (r *Registry) stops(features []Feature) bool {
	_, stopped := r.Find(features)
	return stopped
}

// Guards against a part that each router has seen at one crash only, and against a router that forgets what it knew when it
// restarts.
func TestCrashesAreCountedOverTheFleet(t *testing.T) {
	runRegistries(t, 3, fleetFeedDelay, func(f *registryFleet) {
		time.Sleep(time.Second)
		for i, r := range f.registries {
			r.ReportCrash(fmt.Sprintf("e%d@1", i), request(uint64(i), 1, 99), true)
			time.Sleep(500 * time.Millisecond)
			f.registries[0].ReportCompleted(request(50+uint64(i), 1))
		}
		time.Sleep(fleetFeedDelay)
		restarted := NewRegistry(f.registries[1].RegistryOptions)
		objects, _, err := f.store.List(context.Background(), RegistryKind+"/")
		must.NoError(t, err)
		restarted.ReplaceAll(objects, 0)
		for _, r := range append(f.registries, restarted) {
			must.True(t, r.stops(request(7, 1, 99)))
			must.False(t, r.stops(request(8, 1, 98)), must.Sprint("the shared first part"))
		}
	})
}

// Guards against routers that stop a part although another one knows that requests with it complete.
func TestCompletionsReachTheFleet(t *testing.T) {
	runRegistries(t, 3, fleetFeedDelay, func(f *registryFleet) {
		time.Sleep(time.Second)
		for i := range 5 {
			f.registries[0].ReportCrash(fmt.Sprintf("e%d@1", i), request(uint64(i), 1, uint64(20+i)), true)
			time.Sleep(2 * time.Second)
			f.registries[1].ReportCompleted(request(100, 1))
			time.Sleep(2 * time.Second)
			must.False(t, f.registries[2].stops(request(200, 1, 3)), must.Sprintf("crash %d", i))
		}
	})
}

// Guards against a part that stays stopped for an hour although its requests don't crash engines, and against more than a
// few trials of one that does.
func TestStoppedContentIsTriedAgain(t *testing.T) {
	runRegistries(t, 2, slowFeedDelay, func(f *registryFleet) {
		time.Sleep(time.Second)
		for i := range 3 {
			f.registries[0].ReportCrash(fmt.Sprintf("e%d@1", i), request(uint64(i), 1, 99), true)
			time.Sleep(time.Second)
		}
		time.Sleep(slowFeedDelay)
		deadly := request(9, 1, 99)
		trials, afterFifth := 0, 0
		for range int(Retention/time.Second) - 10 {
			must.True(t, f.registries[1].stops(deadly), must.Sprint("a router other than the first"))
			if !f.registries[0].stops(deadly) {
				if trials++; trials > 2 {
					afterFifth++
				}
				f.registries[0].ReportCrash(fmt.Sprintf("t%d@1", trials), deadly, true)
			}
			time.Sleep(time.Second)
		}
		must.Between(t, 1, afterFifth, 3, must.Sprintf("%d trials", trials))
		time.Sleep(Retention)
		must.False(t, f.registries[0].stops(deadly))
	})
	runRegistries(t, 2, slowFeedDelay, func(f *registryFleet) {
		time.Sleep(time.Second)
		for i := range 3 {
			f.registries[0].ReportCrash(fmt.Sprintf("e%d@1", i), request(uint64(i), 1, 99), true)
			time.Sleep(time.Second)
		}
		time.Sleep(firstTrialDelay)
		must.False(t, f.registries[0].stops(request(9, 1, 99)))
		f.registries[0].ReportCompleted(request(9, 1, 99))
		time.Sleep(2 * slowFeedDelay)
		must.False(t, f.registries[1].stops(request(10, 1, 99)))
	})
}

// Guards against objects of routers that are gone for good, which would stay in the store.
func TestOldObjectsAreDeleted(t *testing.T) {
	runRegistries(t, 2, slowFeedDelay, func(f *registryFleet) {
		time.Sleep(time.Second)
		f.registries[1].ReportCrash("e1@1", request(1, 1, 2), true)
		time.Sleep(slowFeedDelay)
		_, err := f.store.Get(context.Background(), RegistryKind+"/vm1")
		must.NoError(t, err)
		time.Sleep(Retention + maxClockSkew + 2*expiryInterval)
		_, err = f.store.Get(context.Background(), RegistryKind+"/vm1")
		must.ErrorIs(t, err, platform.ErrNotFound)
	})
}

// Guards against the loss of the records by which routers agree.
func TestStoredRecordsRoundTrip(t *testing.T) {
	records := []Record{
		{Fingerprint: Fingerprint{BodyHash: 1<<63 + 5}, Depth: 1, Label: "part a", ClearedAt: start, Crashes: []Crash{{VM: "e@1", Observer: "r", At: start, Request: 1<<63 + 7}}},
		{Fingerprint: Fingerprint{Organisation: "o", BodyHash: 2}, Depth: DepthOfRequest, Label: "request", Crashes: []Crash{{VM: "e@1", Observer: "r", At: start.Add(time.Millisecond)}}},
	}
	value, err := encodeRecords(records)
	must.NoError(t, err)
	decoded, err := decodeRecords(value)
	must.NoError(t, err)
	must.Eq(t, records, decoded)
	_, err = decodeRecords([]byte(`{"records":[`))
	must.Error(t, err)
}

// Guards against routers that forget content that crashes endpoints when they restart after the store has come back from an older
// copy, because nobody has written the crashes again.
func TestRestoredStoreGetsCrashRecordsAgain(t *testing.T) {
	runRegistries(t, 4, fleetFeedDelay, func(f *registryFleet) {
		time.Sleep(time.Second)
		copied := f.memory.Copy()
		for i, r := range f.registries[1:] {
			r.ReportCrash(fmt.Sprintf("e%d@1", i), request(uint64(i), 1, 99), true)
			time.Sleep(500 * time.Millisecond)
			f.registries[0].ReportCompleted(request(50+uint64(i), 1))
		}
		time.Sleep(fleetFeedDelay)
		f.memory.Restore(copied)
		time.Sleep(2 * time.Second)
		objects, _, err := f.store.List(t.Context(), RegistryKind+"/")
		must.NoError(t, err)
		restarted := NewRegistry(f.registries[3].RegistryOptions)
		restarted.ReplaceAll(objects, 0)
		must.True(t, restarted.stops(request(70, 1, 99)))
		must.False(t, restarted.stops(request(71, 1)))
	})
}
