package httpstore

import (
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// FuzzDecodeObject guards against a response that makes the client panic, and against accepting another object or an
// invalid version.
func FuzzDecodeObject(f *testing.F) {
	f.Add([]byte(`{"key":"k","revision":3,"value":"AP8="}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		object, err := decodeObject(body, "k")
		if err != nil {
			checkError(t, err)
			return
		}
		if object.Key != "k" || object.Revision == 0 || object.Deleted || len(object.Value) > platform.MaxValueBytes {
			t.Fatalf("accepted %+v", object)
		}
	})
}

// FuzzDecodeList guards against a response that makes the client panic, and against accepting a list that is unsorted
// or has objects of another prefix.
func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(`{"objects":[{"key":"a/1","revision":1},{"key":"a/2","revision":4,"value":"eA=="}],"revision":7}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		objects, revision, err := decodeList(body, "a/")
		if err != nil {
			checkError(t, err)
			return
		}
		last := ""
		for _, object := range objects {
			if !strings.HasPrefix(object.Key, "a/") || object.Key <= last || object.Deleted || object.Revision > revision {
				t.Fatalf("accepted %+v after %q", object, last)
			}
			last = object.Key
		}
	})
}

// FuzzDecodeChanges guards against a response that makes the client panic, and against accepting changes that would
// set a watch back to an earlier revision.
func FuzzDecodeChanges(f *testing.F) {
	f.Add([]byte(`{"objects":[{"key":"a/1","revision":6,"value":"eA=="},{"key":"a/1","revision":8,"deleted":true}],"revision":9}`), uint64(5))
	f.Fuzz(func(t *testing.T, body []byte, after uint64) {
		objects, revision, err := decodeChanges(body, "a/", after)
		if err != nil {
			checkError(t, err)
			if revision != after {
				t.Fatalf("revision changed from %d to %d with an error", after, revision)
			}
			return
		}
		last := after
		for _, object := range objects {
			if !strings.HasPrefix(object.Key, "a/") || object.Revision <= last || (object.Deleted && len(object.Value) > 0) {
				t.Fatalf("accepted %+v after revision %d", object, last)
			}
			last = object.Revision
		}
		if revision < last {
			t.Fatalf("revision %d of the response is below %d", revision, last)
		}
	})
}

// FuzzDecodeVMs guards against a response that makes the client panic, and against accepting VMs without a name or with
// negative limits.
func FuzzDecodeVMs(f *testing.F) {
	f.Add([]byte(`{"vms":[{"name":"e1","role":"engine","state":"live","address":"127.0.0.1:1","bytes_per_token":4}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		vms, err := decodeVMs(body)
		if err != nil {
			checkError(t, err)
			return
		}
		for _, vm := range vms {
			if vm.Name == "" || vm.BytesPerToken < 0 || vm.MaxInFlight < 0 {
				t.Fatalf("accepted %+v", vm)
			}
		}
	})
}

// FuzzDecodeError guards against error texts of unlimited length or with invalid UTF-8, which would go into the router's
// log.
func FuzzDecodeError(f *testing.F) {
	f.Add([]byte(`{"error":"no"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		text := decodeError(body)
		if len(text) > maxErrorBytes || !utf8.ValidString(text) {
			t.Fatalf("error text %q", text)
		}
	})
}

func checkError(t *testing.T, err error) {
	if !errors.Is(err, errMalformed) || !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("error %v does not wrap errMalformed and ErrUnavailable", err)
	}
}
