package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// frameBufferBytes is the initial size of the buffer of each open stream. It holds a typical frame, and the buffer
// grows for larger ones.
const frameBufferBytes = 1 << 10

// maxFrameBytes limits one SSE frame of an engine.
const maxFrameBytes = 1 << 20

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// frame is one SSE chunk of an engine's answer.
type frame struct {
	ID      string        `json:"id"`
	Index   *int          `json:"index"`
	Choices []frameChoice `json:"choices"`
	Usage   *Usage        `json:"usage"`
}

type frameChoice struct {
	Delta        frameDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type frameDelta struct {
	Content string `json:"content"`
}

// frameReader reads the frames of one request and drops those of other requests and repeated tokens.
type frameReader struct {
	scanner   *bufio.Scanner
	requestID string
	// nextIndex is the index of the next expected token.
	nextIndex     int
	droppedFrames int
	// sawFinishReason is set once a frame of this request carried a finish reason. The end marker has no request id,
	// so one that arrives earlier belongs to another request.
	sawFinishReason bool
}

func newFrameReader(body io.Reader, requestID string, nextIndex int) *frameReader {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, frameBufferBytes), maxFrameBytes)
	return &frameReader{scanner: s, requestID: requestID, nextIndex: nextIndex}
}

// part is the content of one accepted frame.
type part struct {
	token        *Token
	usage        *Usage
	finishReason string
	complete     bool
}

// read returns the next part. The error wraps ErrBroken if the stream ends early, skips a token or is malformed.
func (r *frameReader) read() (part, error) {
	for r.scanner.Scan() {
		data, ok := bytes.CutPrefix(r.scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			if r.sawFinishReason {
				return part{complete: true}, nil
			}
			r.droppedFrames++
			continue
		}
		p, ok, err := r.accept(data)
		if err != nil {
			return part{}, err
		}
		if ok {
			return p, nil
		}
	}
	if err := r.scanner.Err(); err != nil {
		return part{}, classifyTransportError(err)
	}
	return part{}, fmt.Errorf("%w: %w: stream ended without its end marker", ErrBroken, ErrCrashed)
}

// accept checks the frame's request id and token index. ok is false for a frame that is dropped.
func (r *frameReader) accept(data []byte) (p part, ok bool, err error) {
	var f frame
	if err := json.Unmarshal(data, &f); err != nil {
		return part{}, false, fmt.Errorf("%w: malformed frame: %w", ErrBroken, err)
	}
	if f.ID != r.requestID {
		r.droppedFrames++
		return part{}, false, nil
	}
	p.usage = f.Usage
	if len(f.Choices) == 0 {
		return p, p.usage != nil, nil
	}
	choice := f.Choices[0]
	if choice.FinishReason != nil {
		p.finishReason = *choice.FinishReason
		r.sawFinishReason = true
	}
	if choice.Delta.Content == "" {
		return p, p.usage != nil || p.finishReason != "", nil
	}
	return r.acceptToken(p, f.Index, choice.Delta.Content)
}

func (r *frameReader) acceptToken(p part, index *int, text string) (part, bool, error) {
	switch {
	case index == nil:
		return part{}, false, fmt.Errorf("%w: frame without a token index", ErrBroken)
	case *index < r.nextIndex:
		r.droppedFrames++
		return part{}, false, nil
	case *index > r.nextIndex:
		return part{}, false, fmt.Errorf("%w: token %d came before token %d", ErrBroken, *index, r.nextIndex)
	}
	r.nextIndex++
	p.token = &Token{Index: *index, Text: text}
	return p, true, nil
}
