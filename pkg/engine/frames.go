package engine

import "time"

// timeFactor makes a count a factor of a duration.
func timeFactor(n int) time.Duration { return time.Duration(n) }

// frames holds the state of the faults that mix up the frames of streams.
type frames struct {
	// held is a frame that waits to be crossed with one of another stream.
	held      Chunk
	heldOwner *Run
	// late is the last token of a request that has ended.
	late Chunk
}

// chunk returns the frame of a token.
func (e *Engine) chunk(r *Run, index int, text string) Chunk {
	return Chunk{
		ID: r.request.RequestID, Object: "chat.completion.chunk", Created: e.clock.Now().Unix(), Model: r.request.Model,
		Index: index, Choices: []ChunkChoice{{Delta: Delta{Content: text}}},
	}
}

// nextFrames counts a token of r and returns the frames that its stream carries now: the token's own frame, unless a
// fault is in force.
func (e *Engine) nextFrames(r *Run, own Chunk) []Chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.next = own.Index + 1
	r.last = own
	r.record.Tokens++
	if !r.request.Stream {
		return []Chunk{own}
	}
	out := append(r.foreign, own)
	r.foreign = nil
	f := &e.frames
	switch {
	case f.heldOwner != nil && f.heldOwner != r:
		f.heldOwner.foreign = append(f.heldOwner.foreign, own)
		out[len(out)-1] = f.held
		f.heldOwner = nil
	case f.heldOwner == nil && e.streams() > 1 && e.faults.take(FaultCrossed):
		f.held, f.heldOwner = own, r
		out = out[:len(out)-1]
	case e.faults.take(FaultDuplicated):
		out = append(out, own)
	}
	if f.late.ID != "" && f.late.ID != own.ID && e.faults.take(FaultLate) {
		out = append([]Chunk{f.late}, out...)
	}
	return out
}

// streams returns how many streamed requests have begun to produce tokens. The caller holds mu.
func (e *Engine) streams() int {
	n := 0
	for _, runs := range e.runs {
		for _, r := range runs {
			if r.request.Stream && r.next >= 0 {
				n++
			}
		}
	}
	return n
}

func (f *frames) ended(r *Run) {
	if r.last.ID != "" {
		f.late = r.last
	}
}
