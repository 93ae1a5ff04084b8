package platform

// Headers and paths of the platform's HTTP protocol, which memstore serves and httpstore calls.
const (
	// HeaderClient carries the client id.
	HeaderClient = "X-Platform-Client"
	// HeaderIfMatch carries the revision that a write expects; 0 means that the object must not exist.
	HeaderIfMatch = "If-Match"

	// PathObject accepts GET, PUT and DELETE with the query argument key.
	PathObject = "/v1/object"
	// PathObjects accepts GET with the query argument prefix.
	PathObjects = "/v1/objects"
	// PathWatch accepts GET with the query arguments prefix, after (a revision) and wait_ms.
	PathWatch = "/v1/watch"
	// PathVMs accepts GET.
	PathVMs = "/v1/vms"
	// PathWeights accepts GET with the query arguments name and bytes.
	PathWeights = "/v1/weights"
)

// WireObject is the JSON form of an Object. The value is base64.
type WireObject struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// WireObjects is the response body of PathObjects and PathWatch.
type WireObjects struct {
	Objects  []WireObject `json:"objects"`
	Revision uint64       `json:"revision"`
}

// WireVMs is the response body of PathVMs.
type WireVMs struct {
	VMs []VM `json:"vms"`
}

// WireValue is the body of a PUT to PathObject.
type WireValue struct {
	Value []byte `json:"value"`
}

// WireError is the body of a response with a status other than 200.
type WireError struct {
	Error string `json:"error"`
}
