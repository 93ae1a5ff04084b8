package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the size of the engines' cache blocks, and blockTokens the tokens in one.
	blockBytes  = 64
	blockTokens = 16
	// sampleMask selects one in eight blocks for the index, by the block's hash, so that prompts and cache events
	// agree on the selection. Indexing every block would take eight times the memory and only make the estimate
	// of a cached prefix finer than about 128 tokens.
	sampleMask = 7
	// maxBlocks bounds the prompt length that the index covers, here 256 KiB.
	maxBlocks = 4096
)

// Message is a message of a prompt.
type Message struct {
	Role    string
	Content string
}

// PromptText returns the text that the engines' cache blocks are made of.
func PromptText(messages []Message) []byte {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	text := make([]byte, 0, size)
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, 0)
		text = append(text, m.Content...)
		text = append(text, 1)
	}
	return text
}

// Blocks returns the hashes of the indexed blocks of a prompt and the number of tokens up to the end of each. A
// hash covers the model and all bytes up to the end of its block, so equal hashes mean an equal prefix.
func Blocks(model string, prompt []byte) (hashes []uint64, ends []int) {
	previous := xxhash.Sum64String(model)
	var d xxhash.Digest
	var link [8]byte
	for i := range min(len(prompt)/blockBytes, maxBlocks) {
		d.Reset()
		binary.LittleEndian.PutUint64(link[:], previous)
		_, _ = d.Write(link[:])
		_, _ = d.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		previous = d.Sum64()
		if sampled(previous) {
			hashes, ends = append(hashes, previous), append(ends, (i+1)*blockTokens)
		}
	}
	return hashes, ends
}

func sampled(block uint64) bool { return block&sampleMask == 0 }
