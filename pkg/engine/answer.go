package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the size of a prompt token.
	BytesPerToken = 4
	// tokensPerMessage counts the tokens for the role and delimiters of a message.
	tokensPerMessage = 4
	// DefaultMaxTokens is the output limit of a request without one.
	DefaultMaxTokens = 64
	// BlockTokens is the number of prompt tokens in one block of the prefix cache.
	BlockTokens = 16
	blockBytes  = BlockTokens * BytesPerToken
)

// PromptTokens returns the number of tokens of a prompt: the bytes of all contents divided by BytesPerToken, rounded
// up, and tokensPerMessage for each message.
func PromptTokens(messages []Message) int {
	bytes := 0
	for _, message := range messages {
		bytes += len(message.Content)
	}
	return (bytes+BytesPerToken-1)/BytesPerToken + tokensPerMessage*len(messages)
}

// promptText returns the text of a prompt from which the cache blocks and the answer are computed.
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

// chainHash returns the hash of data combined with the hash of the data before it.
func chainHash(previous uint64, data string) uint64 {
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
		hash = chainHash(hash, text[:blockBytes])
		blocks = append(blocks, hash)
		text = text[blockBytes:]
	}
	return blocks
}

// Answer is the answer to a prompt. It depends only on the model, the seed, the prompt and the output limit, so that
// all engines give the same answer.
type Answer struct {
	hash uint64
	// Tokens is the number of output tokens.
	Tokens int
	// Finish is the finish reason, FinishStop or FinishLength.
	Finish string
}

// AnswerTo returns the answer to a request. Its length is between half the output limit and the limit.
func AnswerTo(request ChatRequest) Answer {
	limit := request.MaxTokens
	if limit <= 0 {
		limit = DefaultMaxTokens
	}
	hash := chainHash(chainHash(request.Seed, request.Model), promptText(request.Messages))
	tokens := (limit+1)/2 + int(hash%uint64(limit/2+1))
	answer := Answer{hash: hash, Tokens: tokens, Finish: FinishStop}
	if tokens >= limit {
		answer.Tokens, answer.Finish = limit, FinishLength
	}
	return answer
}

// Token returns the text of the output token at index, counted from 0.
func (a Answer) Token(index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(chainHash(a.hash, fmt.Sprint(index))), index)
}

// Text returns the text of the output tokens from index from to the end.
func (a Answer) Text(from int) string {
	var text strings.Builder
	for i := from; i < a.Tokens; i++ {
		text.WriteString(a.Token(i))
	}
	return text.String()
}
