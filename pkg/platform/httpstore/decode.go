package httpstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// maxErrorBytes bounds how much of the platform's error text goes into an error.
const maxErrorBytes = 200

// errAnswer marks a 200 answer that breaks the protocol.
var errAnswer = errors.New("answer breaks the protocol")

func malformed(cause error) error {
	return fmt.Errorf("%w: %w: %w", platform.ErrUnavailable, errAnswer, cause)
}

// decodeObject decodes the answer for one object.
func decodeObject(body []byte, key string) (platform.Object, error) {
	var wire platform.WireObject
	if err := json.Unmarshal(body, &wire); err != nil {
		return platform.Object{}, malformed(err)
	}
	if wire.Key != key || wire.Revision == 0 || wire.Deleted || len(wire.Value) > platform.MaxValueBytes {
		return platform.Object{}, malformed(fmt.Errorf("not a version of %q", key))
	}
	return platform.Object(wire), nil
}

// decodeList decodes the answer to a list: live objects below prefix, sorted by key.
func decodeList(body []byte, prefix string) ([]platform.Object, uint64, error) {
	objects, revision, err := decodeObjects(body, prefix)
	if err != nil {
		return nil, 0, err
	}
	for i, object := range objects {
		if object.Deleted || (i > 0 && objects[i-1].Key >= object.Key) {
			return nil, 0, malformed(fmt.Errorf("object %q of the list", object.Key))
		}
	}
	return objects, revision, nil
}

// decodeChanges decodes the answer to a poll: changes below prefix after a revision, in order.
func decodeChanges(body []byte, prefix string, after uint64) ([]platform.Object, uint64, error) {
	objects, revision, err := decodeObjects(body, prefix)
	if err != nil {
		return nil, after, err
	}
	last := after
	for _, object := range objects {
		if object.Revision <= last {
			return nil, after, malformed(fmt.Errorf("revision %d follows %d", object.Revision, last))
		}
		last = object.Revision
	}
	if revision < last {
		return nil, after, malformed(fmt.Errorf("revision %d of the answer is below %d", revision, last))
	}
	return objects, revision, nil
}

func decodeObjects(body []byte, prefix string) ([]platform.Object, uint64, error) {
	var wire platform.WireObjects
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, 0, malformed(err)
	}
	objects := make([]platform.Object, len(wire.Objects))
	for i, object := range wire.Objects {
		if !strings.HasPrefix(object.Key, prefix) || object.Revision == 0 || object.Revision > wire.Revision ||
			len(object.Value) > platform.MaxValueBytes || (object.Deleted && len(object.Value) > 0) {
			return nil, 0, malformed(fmt.Errorf("object %q", object.Key))
		}
		objects[i] = platform.Object(object)
	}
	return objects, wire.Revision, nil
}

func decodeVMs(body []byte) ([]platform.VM, error) {
	var wire platform.WireVMs
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, malformed(err)
	}
	for _, vm := range wire.VMs {
		if vm.Name == "" || vm.BytesPerToken < 0 || vm.MaxInFlight < 0 {
			return nil, malformed(fmt.Errorf("VM %q", vm.Name))
		}
	}
	return wire.VMs, nil
}

// decodeError returns the text of an error answer.
func decodeError(body []byte) string {
	var wire platform.WireError
	if err := json.Unmarshal(body, &wire); err != nil {
		return "no reason given"
	}
	if len(wire.Error) > maxErrorBytes {
		return strings.ToValidUTF8(wire.Error[:maxErrorBytes], "")
	}
	return wire.Error
}
