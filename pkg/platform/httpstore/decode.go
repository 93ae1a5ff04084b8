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

// errMalformed marks a 200 response that violates the protocol.
var errMalformed = errors.New("malformed response")

func malformedError(cause error) error {
	return fmt.Errorf("%w: %w: %w", platform.ErrUnavailable, errMalformed, cause)
}

// decodeObject decodes the response for one object. It returns an error if the response isn't a live version of key.
func decodeObject(body []byte, key string) (platform.Object, error) {
	var wire platform.WireObject
	if err := json.Unmarshal(body, &wire); err != nil {
		return platform.Object{}, malformedError(err)
	}
	if wire.Key != key || wire.Revision == 0 || wire.Deleted || len(wire.Value) > platform.MaxValueBytes {
		return platform.Object{}, malformedError(fmt.Errorf("not a valid version of object %q", key))
	}
	return platform.Object(wire), nil
}

// decodeList decodes the response to a list. It returns an error unless all objects are live, below prefix and sorted
// by key.
func decodeList(body []byte, prefix string) ([]platform.Object, uint64, error) {
	objects, revision, err := decodeObjects(body, prefix)
	if err != nil {
		return nil, 0, err
	}
	for i, object := range objects {
		if object.Deleted || (i > 0 && objects[i-1].Key >= object.Key) {
			return nil, 0, malformedError(fmt.Errorf("object %q is deleted or out of order", object.Key))
		}
	}
	return objects, revision, nil
}

// decodeChanges decodes the response to a poll. It returns an error unless all changes are below prefix, later than
// the revision after and in order. With an error the returned revision is after.
func decodeChanges(body []byte, prefix string, after uint64) ([]platform.Object, uint64, error) {
	objects, revision, err := decodeObjects(body, prefix)
	if err != nil {
		return nil, after, err
	}
	last := after
	for _, object := range objects {
		if object.Revision <= last {
			return nil, after, malformedError(fmt.Errorf("revision %d follows %d", object.Revision, last))
		}
		last = object.Revision
	}
	if revision < last {
		return nil, after, malformedError(fmt.Errorf("revision %d of the response is below %d", revision, last))
	}
	return objects, revision, nil
}

func decodeObjects(body []byte, prefix string) ([]platform.Object, uint64, error) {
	var wire platform.WireObjects
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, 0, malformedError(err)
	}
	objects := make([]platform.Object, len(wire.Objects))
	for i, object := range wire.Objects {
		if !strings.HasPrefix(object.Key, prefix) || object.Revision == 0 || object.Revision > wire.Revision ||
			len(object.Value) > platform.MaxValueBytes || (object.Deleted && len(object.Value) > 0) {
			return nil, 0, malformedError(fmt.Errorf("invalid object %q", object.Key))
		}
		objects[i] = platform.Object(object)
	}
	return objects, wire.Revision, nil
}

func decodeVMs(body []byte) ([]platform.VM, error) {
	var wire platform.WireVMs
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, malformedError(err)
	}
	for _, vm := range wire.VMs {
		if vm.Name == "" || vm.BytesPerToken < 0 || vm.MaxInFlight < 0 {
			return nil, malformedError(fmt.Errorf("invalid VM %q", vm.Name))
		}
	}
	return wire.VMs, nil
}

// decodeError returns the error text of a response, cut to maxErrorBytes of valid UTF-8.
func decodeError(body []byte) string {
	var wire platform.WireError
	if err := json.Unmarshal(body, &wire); err != nil {
		return "no error text"
	}
	if len(wire.Error) > maxErrorBytes {
		return strings.ToValidUTF8(wire.Error[:maxErrorBytes], "")
	}
	return wire.Error
}
