package memory

import "bytes"

// What a request takes decoded, in bytes. The figures cover a decoded head as net/http holds it, the copy of it that is sent to an
// endpoint, and what is decoded from the values of its fields. TestHeadsTakeWhatIsCounted in package platform compares them with the
// garbage collector's figures.
const (
	// RequestBytes is what a request takes besides its head and body: its records, timers and buffers, and the stacks of its goroutines.
	RequestBytes = 24 << 10
	// fieldBytes is what a line of a head takes: entries of hash tables that have just grown, a name and a value. shortFieldBytes is that
	// of a line of up to shortField bytes: there are few names of one byte, so that such a line repeats a field. net/http sets aside room for another one all the same.
	fieldBytes      = 320
	shortFieldBytes = 176
	shortField      = len("a:")
	// elementBytes is what an element of a comma-separated list takes: net/http decodes the names of announced trailers, and a prompt
	// names its parts with their sizes. pairBytes and byteBytes are those of elements of two bytes and of one, which aren't parts, and
	// are few or repeat others.
	elementBytes = 240
	pairBytes    = 130
	byteBytes    = 16
	// byteCopies is how often a byte of a head is held: in a value, in the target and its path without escapes, and encoded for an
	// endpoint.
	byteCopies = 4
)

// HeadMeter counts what a head, or the trailers of a body, takes decoded, by its bytes as they arrive. The zero HeadMeter awaits the
// first byte.
type HeadMeter struct {
	// line and element are the lengths of the present line and of the present element of a list so far, and blank is set if the line has
	// nothing but a carriage return at its start.
	line, element int
	blank         bool
}

// Scan counts the bytes up to the end of the head. It returns their number, what they take decoded, and whether the head has ended.
func (m *HeadMeter) Scan(p []byte) (n int, cost int64, ended bool) {
	for n < len(p) && !ended {
		part, isWhole := p[n:], false
		if end := bytes.IndexByte(part, '\n'); end >= 0 {
			part, isWhole = part[:end+1], true
		}
		n += len(part)
		if m.line == 0 {
			m.blank = part[0] == '\r' || part[0] == '\n'
		}
		m.line += len(part)
		cost += byteCopies*int64(len(part)) + m.scanList(part)
		if !isWhole {
			break
		}
		ended = m.blank && m.line <= len("\r\n")
		if m.line <= shortField+len("\n") {
			cost += shortFieldBytes
		} else {
			cost += fieldBytes
		}
		m.line, m.element = 0, 0
	}
	return n, cost, ended
}

// scanList returns what the elements of a list take that end in a part of a line.
func (m *HeadMeter) scanList(part []byte) (cost int64) {
	for {
		end := bytes.IndexByte(part, ',')
		if end < 0 {
			m.element += len(part)
			return cost
		}
		switch m.element + end {
		case 0:
		case 1:
			cost += byteBytes
		case 2:
			cost += pairBytes
		default:
			cost += elementBytes
		}
		part, m.element = part[end+1:], 0
	}
}

// chunkPhase is a part of a body in chunks.
type chunkPhase int

const (
	chunkSize chunkPhase = iota
	chunkExtension
	chunkData
	chunkDataEnd
	chunkTrailers
)

// ChunkMeter finds the trailers of a body in chunks, and counts what they take decoded. The zero ChunkMeter awaits the first byte. A
// body that isn't valid may be read otherwise than by net/http, which then refuses it.
type ChunkMeter struct {
	phase chunkPhase
	// left is the size of the chunk, or what is left of its data and their end.
	left     uint64
	trailers HeadMeter
}

// Scan counts the bytes up to the end of the body. It returns their number, what is held of them decoded besides the body, and whether
// the body has ended.
func (m *ChunkMeter) Scan(p []byte) (n int, cost int64, ended bool) {
	for n < len(p) && !ended {
		switch m.phase {
		case chunkSize, chunkExtension:
			m.scanLine(p[n])
			n++
		case chunkData, chunkDataEnd:
			skipped := min(uint64(len(p)-n), m.left)
			n += int(skipped)
			if m.left -= skipped; m.left > 0 {
				continue
			}
			if m.phase == chunkData {
				m.phase, m.left = chunkDataEnd, uint64(len("\r\n"))
			} else {
				m.phase = chunkSize
			}
		case chunkTrailers:
			var taken int
			taken, cost, ended = m.trailers.Scan(p[n:])
			n += taken
		}
	}
	return n, cost, ended
}

// scanLine takes a byte of the line with the size of a chunk.
func (m *ChunkMeter) scanLine(c byte) {
	const digitBits = 4
	digit, isDigit := hexDigit(c)
	switch {
	case c == '\n' && m.left == 0:
		m.phase = chunkTrailers
	case c == '\n':
		m.phase = chunkData
	case m.phase == chunkSize && isDigit:
		m.left = m.left<<digitBits | uint64(digit)
	default:
		m.phase = chunkExtension
	}
}

func hexDigit(c byte) (value byte, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}
