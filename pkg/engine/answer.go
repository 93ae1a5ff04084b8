package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the size of the stand-in's prompt tokens.
	BytesPerToken = 4
	// tokensPerMessage is what the frame of a message adds to a prompt.
	tokensPerMessage = 4
	// DefaultMaxTokens is the output limit of a request that names none.
	DefaultMaxTokens = 64
	// BlockTokens is the number of prompt tokens in one block of the prefix cache.
	BlockTokens = 16
	blockBytes  = BlockTokens * BytesPerToken
)

// PromptTokens returns the tokens of a prompt: the bytes of all contents divided by BytesPerToken, rounded up, and
// 4 for each message.
func PromptTokens(messages []Message) int {
	bytes := 0
	for _, message := range messages {
		bytes += len(message.Content)
	}
	return (bytes+BytesPerToken-1)/BytesPerToken + tokensPerMessage*len(messages)
}

// promptText is the prompt as the cache sees it.
func promptText(messages []Message) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteByte(0)
		text.WriteString(message.Content)
		text.WriteByte(1)
	}
	return text.String()
}

// chain hashes data after the hash of what came before it.
func chain(previous uint64, data string) uint64 {
	digest := xxhash.New()
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], previous)
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(data)
	return digest.Sum64()
}

// PromptBlocks returns the hashes of the full blocks of a prompt. Each hash covers the whole prefix up to its block.
func PromptBlocks(model string, messages []Message) []uint64 {
	text := promptText(messages)
	blocks := make([]uint64, 0, len(text)/blockBytes)
	hash := xxhash.Sum64String(model)
	for len(text) >= blockBytes {
		hash = chain(hash, text[:blockBytes])
		blocks = append(blocks, hash)
		text = text[blockBytes:]
	}
	return blocks
}

// Answer is the answer to a prompt, which depends only on the model, the seed, the prompt and the output limit, so
// that all engines give the same one.
type Answer struct {
	hash uint64
	// Tokens is the length of the answer.
	Tokens int
	// Finish is the finish reason.
	Finish string
}

// AnswerTo returns the answer to a request: between half and all of the output limit long.
func AnswerTo(request ChatRequest) Answer {
	limit := request.MaxTokens
	if limit <= 0 {
		limit = DefaultMaxTokens
	}
	hash := chain(chain(request.Seed, request.Model), promptText(request.Messages))
	tokens := (limit+1)/2 + int(hash%uint64(limit/2+1))
	answer := Answer{hash: hash, Tokens: tokens, Finish: FinishStop}
	if tokens >= limit {
		answer.Tokens, answer.Finish = limit, FinishLength
	}
	return answer
}

// Token returns the text of the token at the index.
func (a Answer) Token(index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(chain(a.hash, fmt.Sprint(index))), index)
}

// Text returns the text of the tokens from the index on.
func (a Answer) Text(from int) string {
	var text strings.Builder
	for i := from; i < a.Tokens; i++ {
		text.WriteString(a.Token(i))
	}
	return text.String()
}
