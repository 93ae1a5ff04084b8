package engine

import "time"

// timeFactor converts a count to a duration, so that it can be multiplied with one.
func timeFactor(n int) time.Duration { return time.Duration(n) }

// frameFaults holds the frames that FaultCrossed and FaultLate have yet to deliver.
type frameFaults struct {
	// heldFrame is the frame of heldOwner that FaultCrossed swaps with the next frame of another stream.
	heldFrame Chunk
	heldOwner *Run
	// lateFrame is the frame of the last token of the request that ended most recently.
	lateFrame Chunk
}

// newChunk returns the frame of the token at index.
func (e *Engine) newChunk(r *Run, index int, text string) Chunk {
	return Chunk{
		ID: r.request.RequestID, Object: "chat.completion.chunk", Created: e.clock.Now().Unix(), Model: r.request.Model,
		Index: index, Choices: []ChunkChoice{{Delta: Delta{Content: text}}},
	}
}

// nextFrames records a token of r and returns the frames to send on its stream: the token's own frame, changed by the
// faults in force.
func (e *Engine) nextFrames(r *Run, frame Chunk) []Chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.nextToken = frame.Index + 1
	r.lastFrame = frame
	r.record.Tokens++
	if !r.request.Stream {
		return []Chunk{frame}
	}
	toSend := append(r.foreignFrames, frame)
	r.foreignFrames = nil
	f := &e.frames
	switch {
	case f.heldOwner != nil && f.heldOwner != r:
		f.heldOwner.foreignFrames = append(f.heldOwner.foreignFrames, frame)
		toSend[len(toSend)-1] = f.heldFrame
		f.heldOwner = nil
	case f.heldOwner == nil && e.activeStreams() > 1 && e.faults.consume(FaultCrossed):
		f.heldFrame, f.heldOwner = frame, r
		toSend = toSend[:len(toSend)-1]
	case e.faults.consume(FaultDuplicated):
		toSend = append(toSend, frame)
	}
	if f.lateFrame.ID != "" && f.lateFrame.ID != frame.ID && e.faults.consume(FaultLate) {
		toSend = append([]Chunk{f.lateFrame}, toSend...)
	}
	return toSend
}

// activeStreams returns the number of streamed requests whose prefill is done. The caller holds mu.
func (e *Engine) activeStreams() int {
	n := 0
	for _, runs := range e.runs {
		for _, r := range runs {
			if r.request.Stream && r.nextToken >= 0 {
				n++
			}
		}
	}
	return n
}

// keepLast keeps the last frame of an ended run for FaultLate.
func (f *frameFaults) keepLast(r *Run) {
	if r.lastFrame.ID != "" {
		f.lateFrame = r.lastFrame
	}
}
