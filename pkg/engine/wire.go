package engine

import "encoding/json"

// Headers that callers of an engine set, so that its records can be compared with the results that callers received.
const (
	HeaderOrganisation   = "X-LS-Organisation"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-LS-Request-Id"
)

// Paths of the engine's HTTP API.
const (
	PathChat        = "/v1/chat/completions"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathKVExport    = "/v1/kv/export"
	PathKVImport    = "/v1/kv/import"
	PathOrders      = "/v1/orders"
	PathStatus      = "/v1/status"
)

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the request body of PathChat. Other fields of the published protocol are ignored.
type ChatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream,omitempty"`
	// MaxTokens is the output limit; 0 means DefaultMaxTokens.
	MaxTokens int    `json:"max_tokens,omitempty"`
	Seed      uint64 `json:"seed,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// Priority orders the queue; a higher value is served first.
	Priority int `json:"priority,omitempty"`
	// ResumeFrom is the number of output tokens that the caller already has.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Fencing is the sender's fencing number; 0 means none.
	Fencing uint64 `json:"fencing,omitempty"`
}

// Usage counts the tokens of a whole answer, including those before ResumeFrom.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	PromptDetails    PromptDetail `json:"prompt_tokens_details"`
}

// PromptDetail is the part of Usage about the prefix cache.
type PromptDetail struct {
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one frame of a stream. Each carries one token, except the last, which carries the finish reason and usage.
type Chunk struct {
	// ID is the request ID.
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// Index is the position of the chunk's token in the answer, from 0. In the last chunk it is the number of
	// tokens.
	Index   int           `json:"index"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a Chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a Chunk adds.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Completion is the response body of PathChat without streaming. It holds the text from ResumeFrom on.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is the only choice of a Completion.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Values of FinishReason.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

// Refusal is the response body of a status other than 200. Ran is always false: a refused request did not run.
type Refusal struct {
	Error string `json:"error"`
	Ran   bool   `json:"ran"`
	// Fencing is the highest fencing number received, if the request was refused for a lower one.
	Fencing uint64 `json:"fencing,omitempty"`
}

// RequestRef identifies a request. It is the request body of PathCancel and PathKVExport.
type RequestRef struct {
	RequestID string `json:"request_id"`
}

// Load is the response body of PathLoad.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// KVUse is the share of the prefix cache in use, from 0 to 1.
	KVUse float64 `json:"kv_use"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

func marshal(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic("engine: a wire type can't be encoded: " + err.Error())
	}
	return body
}
