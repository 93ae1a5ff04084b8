package outcome

import "encoding/json"

// Body is the machine-readable body of every response that reports a Failure.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of a Body.
type Detail struct {
	Outcome      Outcome `json:"outcome"`
	Reason       Reason  `json:"reason"`
	RequestID    string  `json:"request_id"`
	RetryAfterMS int64   `json:"retry_after_ms"`
	Message      string  `json:"message"`
}

// Body returns the body for a request.
func (f *Failure) Body(requestID string) Body {
	return Body{Error: Detail{
		Outcome: f.Outcome, Reason: f.Reason, RequestID: requestID, RetryAfterMS: f.RetryAfter.Milliseconds(), Message: f.Message,
	}}
}

// Encode returns the body as JSON. The body has only strings and numbers, so that encoding can't fail.
func (f *Failure) Encode(requestID string) []byte {
	data, err := json.Marshal(f.Body(requestID))
	if err != nil {
		panic("outcome: encode failure body: " + err.Error())
	}
	return data
}
