package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the length of prompt text in one cache block of the engines, blockTokens the number of tokens.
	blockBytes  = 64
	blockTokens = 16
	// sampleMask selects one in eight blocks for the index. The selection is by the block's hash, so that it is the
	// same for prompts and cache events. Indexing every block would take eight times the memory and only make the
	// estimate of a cached prefix finer than about 128 tokens.
	sampleMask = 7
	// maxBlocks limits the indexed part of a prompt to 256 KiB.
	maxBlocks = 4096
)

// Message is a message of a prompt.
type Message struct {
	Role    string
	Content string
}

// PromptText returns the text that the engines divide into cache blocks.
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
	var previousBytes [8]byte
	for i := range min(len(prompt)/blockBytes, maxBlocks) {
		d.Reset()
		binary.LittleEndian.PutUint64(previousBytes[:], previous)
		_, _ = d.Write(previousBytes[:])
		_, _ = d.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		previous = d.Sum64()
		if isSampled(previous) {
			hashes, ends = append(hashes, previous), append(ends, (i+1)*blockTokens)
		}
	}
	return hashes, ends
}

func isSampled(block uint64) bool { return block&sampleMask == 0 }
