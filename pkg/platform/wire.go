package platform

// The platform's HTTP protocol, which the stand-in serves and the HTTP client speaks.
const (
	// HeaderClient carries the client id.
	HeaderClient = "X-Platform-Client"
	// HeaderIfMatch carries the revision that a write expects; 0 means that the object must not exist.
	HeaderIfMatch = "If-Match"

	// PathObject takes GET, PUT and DELETE with the query argument key.
	PathObject = "/v1/object"
	// PathObjects takes GET with the query argument prefix.
	PathObjects = "/v1/objects"
	// PathWatch takes GET with the query arguments prefix, after (a revision) and wait_ms.
	PathWatch = "/v1/watch"
	// PathVMs takes GET.
	PathVMs = "/v1/vms"
	// PathWeights takes GET with the query arguments name and bytes.
	PathWeights = "/v1/weights"
)

// WireObject is the JSON form of an Object. The value is base64.
type WireObject struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// WireObjects answers PathObjects and PathWatch.
type WireObjects struct {
	Objects  []WireObject `json:"objects"`
	Revision uint64       `json:"revision"`
}

// WireVMs answers PathVMs.
type WireVMs struct {
	VMs []VM `json:"vms"`
}

// WireValue is the body of a PUT to PathObject.
type WireValue struct {
	Value []byte `json:"value"`
}

// WireError is the body of an answer other than 200.
type WireError struct {
	Error string `json:"error"`
}
