// Package forward handles callers' requests: it finds the route of a request, checks the key and the budget, chooses an
// endpoint, forwards the request and relays the response.
package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
)

// ErrMalformed is wrapped by the errors of Dialect.Decode.
var ErrMalformed = errors.New("forward: malformed request")

// Part is a section of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is the size and content of a request to a model engine.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt and MaxOutput the largest number of output tokens.
	Tokens, MaxOutput int64
	// Parts are the parts of the prompt in order; the last one belongs to the request or its session.
	Parts []Part
}

// maxTokens returns the largest number of tokens that the request can use.
func (p *Prompt) maxTokens() int64 { return p.Tokens + p.MaxOutput }

// maxIndexedParts bounds the prefixes of one prompt that the placement remembers, so that a prompt of thousands of parts doesn't
// replace those of others.
const maxIndexedParts = 256

// sharedPrefixes returns the hash of each prefix of the prompt that other requests may share, and its length in tokens.
// The last part is left out, because it belongs to this request or session alone. It returns at most maxIndexedParts.
func (p *Prompt) sharedPrefixes() (hashes []uint64, ends []int) {
	if p == nil || len(p.Parts) < 2 {
		return nil, nil
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(p.Model) // Writes to a digest never fail.
	total := 0
	for _, part := range p.Parts[:min(maxIndexedParts, len(p.Parts)-1)] {
		_, _ = digest.WriteString("/" + part.ID)
		total += part.Tokens
		hashes, ends = append(hashes, digest.Sum64()), append(ends, total)
	}
	return hashes, ends
}

// maxNameBytes bounds the part of a caller's id that is kept in crash records and log lines, and maxLoggedParts the ids in
// one line.
const (
	maxNameBytes   = 64
	maxLoggedParts = 16
)

// features returns the properties of the request that may crash an endpoint: each part of its prompt that other requests
// may share, and last the request as a whole, which its caller may repeat.
func (r *Request) features(organisation string) []poison.Feature {
	var features []poison.Feature
	whole := xxhash.New()
	_, _ = whole.WriteString(r.Method + " " + r.Target + "\n") // Writes to a digest never fail.
	if r.Prompt != nil {
		for i, id := range r.Prompt.sharedPartIDs() {
			hash := xxhash.Sum64String(r.Prompt.Model + "/" + id)
			features = append(features, poison.Feature{Fingerprint: poison.Fingerprint{BodyHash: hash}, Depth: i, Name: "part " + id[:min(maxNameBytes, len(id))]})
		}
		// Different prompts may come with the same body.
		for _, part := range r.Prompt.Parts {
			_, _ = whole.WriteString(part.ID + ",")
		}
	}
	_, _ = whole.Write(r.Body)
	fingerprint := poison.Fingerprint{Organisation: organisation, BodyHash: whole.Sum64()}
	return append(features, poison.Feature{Fingerprint: fingerprint, Depth: poison.DepthOfRequest, Name: "request"})
}

// sharedPartIDs returns the ids of the parts that other requests may share.
func (p *Prompt) sharedPartIDs() []string {
	if len(p.Parts) < 2 {
		return nil
	}
	ids := make([]string, len(p.Parts)-1)
	for i := range ids {
		ids[i] = p.Parts[i].ID
	}
	return ids
}

// loggedPartIDs returns the ids of sharedPartIDs, bounded in number and length.
func (p *Prompt) loggedPartIDs() []string {
	ids := p.sharedPartIDs()
	ids = ids[:min(maxLoggedParts, len(ids))]
	for i, id := range ids {
		ids[i] = id[:min(maxNameBytes, len(id))]
	}
	return ids
}

// loggedPartEnds returns for each id of loggedPartIDs how many tokens of the prompt end with its part.
func (p *Prompt) loggedPartEnds() []int {
	_, ends := p.sharedPrefixes()
	return ends[:min(maxLoggedParts, len(ends))]
}

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the request target as it was sent; Path is its part before the query.
	Target, Path string
	// Header contains the headers as the caller sent them. It must not be changed.
	Header http.Header
	Body   []byte
	Key    string
	// TimeLeft is how long the caller waits for the response, 0 if it sets no limit.
	TimeLeft time.Duration
	// Prompt is nil for requests to services other than model engines.
	Prompt *Prompt
	// LastEvent is the id of the last event that the caller has, empty for a new stream.
	LastEvent string
	// BeganAs is the id of the request that brought the first event of the stream, empty for a new stream.
	BeganAs string
}

// lastEventID returns the number in LastEvent, or noEvent if it has none.
func (r *Request) lastEventID() int64 {
	if id, ok := parseEventID(r.LastEvent); ok {
		return id
	}
	return noEvent
}

// backendSample returns a number uniform in [0, 1) by which a backend of the route is chosen. It is the same at every router, and for all
// attempts of a stream, which another service can't continue.
func (r *Request) backendSample() float64 {
	id := r.ID
	if r.LastEvent != "" && r.BeganAs != "" {
		id = r.BeganAs
	}
	const bits = 53 // A float64 represents each such integer.
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

// Dispatch is what the router adds to a request for one endpoint.
type Dispatch struct {
	Endpoint string
	// TimeLeft is the time until the attempt's timeout.
	TimeLeft time.Duration
	// Organisation is the organisation's name, empty if the request's key belongs to none.
	Organisation string
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// LastEvent replaces the LastEvent of the request.
	LastEvent string
}

// Dialect decodes callers' headers and encodes the headers for endpoints.
type Dialect interface {
	// Decode returns the request without its body. Its errors wrap ErrMalformed.
	Decode(r *http.Request) (Request, error)
	// Encode returns the headers for an endpoint: those of the caller that are to be forwarded, and the router's own.
	Encode(r *Request, d Dispatch) http.Header
	// IDHeader returns the name of the header that carries the request's id in requests and responses.
	IDHeader() string
	// NotRun reports whether an endpoint's response proves that it did not and will not run the request.
	NotRun(status int, h http.Header) bool
	// CheckSuccess returns an error if the headers of a successful response show that it is not the endpoint's own. The error wraps
	// ErrNotOwn.
	CheckSuccess(h http.Header) error
	// Notice returns what an endpoint's answer says about the requests that it takes.
	Notice(status int, h http.Header) Notice
}

// priority returns the organisation's priority if it has one, and the route's otherwise.
func priority(r catalog.Route, o *catalog.Organisation) int {
	if o != nil && o.HasPriority {
		return o.Priority
	}
	return r.Priority
}
