// Package forward serves callers: it finds the route of a request, checks the key and the budget, chooses an
// endpoint, forwards the request and relays the answer.
package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
)

// ErrMalformed is wrapped by the errors of Dialect.Decode.
var ErrMalformed = errors.New("forward: malformed request")

// Part is a piece of a prompt that requests may share.
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

// most is the largest number of tokens that the request can use.
func (p *Prompt) most() int64 { return p.Tokens + p.MaxOutput }

// blocks returns the hash of each shared prefix of the prompt and the number of tokens up to its end. The last part is
// left out, because no other request has it.
func (p *Prompt) blocks() (hashes []uint64, ends []int) {
	if p == nil || len(p.Parts) < 2 {
		return nil, nil
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(p.Model) // A digest's writes never fail.
	total := 0
	for _, part := range p.Parts[:len(p.Parts)-1] {
		_, _ = digest.WriteString("/" + part.ID)
		total += part.Tokens
		hashes, ends = append(hashes, digest.Sum64()), append(ends, total)
	}
	return hashes, ends
}

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the request target as it was sent; Path is its part before the query.
	Target, Path string
	// Header are the headers to pass on.
	Header http.Header
	Body   []byte
	Key    string
	// TimeLeft is how long the caller waits; 0 if it doesn't say.
	TimeLeft time.Duration
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
	// LastEvent is the id of the last event that the caller has; empty if it begins a new stream.
	LastEvent string
}

// Dispatch is what the system adds to a request for one endpoint.
type Dispatch struct {
	Endpoint string
	// TimeLeft is how long the endpoint may work.
	TimeLeft time.Duration
	// Organisation is empty if the request carries no key.
	Organisation string
	// Priority is the urgency, 0 is the most urgent.
	Priority int
	// LastEvent replaces that of the request.
	LastEvent string
}

// Dialect reads and writes the headers of callers and endpoints.
type Dialect interface {
	// Decode returns the request without its body. Its errors wrap ErrMalformed.
	Decode(r *http.Request) (Request, error)
	// Encode returns the headers for an endpoint.
	Encode(r *Request, d Dispatch) http.Header
	// IDHeader names the header that carries the request's id in both directions.
	IDHeader() string
	// NotRun reports whether an endpoint's response proves that it did not and will not run the request.
	NotRun(status int, h http.Header) bool
}

// priority is the request's urgency; an organisation's goes before the route's.
func priority(r catalog.Route, o *catalog.Organisation) int {
	if o != nil && o.HasPriority {
		return o.Priority
	}
	return r.Priority
}
