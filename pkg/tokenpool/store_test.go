package tokenpool

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// testStore keeps objects in memory.
type testStore struct {
	revision uint64
	objects  map[string]platform.Object
}

func (s *testStore) put(key string, value []byte) platform.Object {
	s.revision++
	o := platform.Object{Key: key, Revision: s.revision, Value: value}
	s.objects[key] = o
	return o
}

func (s *testStore) Get(_ context.Context, key string) (platform.Object, error) {
	if o, ok := s.objects[key]; ok {
		return o, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

func (s *testStore) Put(_ context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	if s.objects[key].Revision != ifRevision {
		return platform.Object{}, platform.ErrConflict
	}
	return s.put(key, value), nil
}

func (s *testStore) Delete(_ context.Context, key string, ifRevision uint64) error {
	o, ok := s.objects[key]
	if !ok {
		return platform.ErrNotFound
	}
	if o.Revision != ifRevision {
		return platform.ErrConflict
	}
	delete(s.objects, key)
	return nil
}

func (s *testStore) List(_ context.Context, prefix string) ([]platform.Object, uint64, error) {
	var out []platform.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision, nil
}

func (s *testStore) Poll(context.Context, string, uint64, time.Duration) ([]platform.Object, uint64, error) {
	return nil, 0, platform.ErrUnavailable
}

func (s *testStore) VMs(context.Context) ([]platform.VM, error) { return nil, platform.ErrUnavailable }

func encodeRecord(r instance.Record) []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

func decodeRecord(o platform.Object) instance.Record {
	var r instance.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		panic(err)
	}
	return r
}

// records returns all instance records.
func (s *testStore) records() []instance.Record {
	objects, _, _ := s.List(context.Background(), instance.Prefix)
	out := make([]instance.Record, len(objects))
	for i, o := range objects {
		out[i] = decodeRecord(o)
	}
	return out
}
