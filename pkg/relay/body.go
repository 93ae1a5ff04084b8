package relay

import (
	"encoding/json"
	"fmt"

	"github.com/lavendershunt/lavendershunt/pkg/admit"
)

// engineFields are the fields that the relay sets in the body sent to an engine.
type engineFields struct {
	RequestID  string `json:"request_id"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Priority   int    `json:"priority"`
	ResumeFrom int    `json:"resume_from"`
}

// engineBody returns the caller's body with the relay's fields set. Other fields are passed on unchanged.
func engineBody(chat Chat, deliveredTokens int) ([]byte, error) {
	fields, err := json.Marshal(engineFields{
		RequestID: chat.ID, MaxTokens: chat.MaxTokens, Stream: true,
		Priority: admit.EnginePriority(chat.Class.Target), ResumeFrom: deliveredTokens,
	})
	if err != nil {
		return nil, fmt.Errorf("encode engine fields: %w", err)
	}
	merged := make(map[string]json.RawMessage)
	for _, source := range [][]byte{chat.Body, fields} {
		if err := json.Unmarshal(source, &merged); err != nil {
			return nil, fmt.Errorf("merge engine body: %w", err)
		}
	}
	return json.Marshal(merged)
}
