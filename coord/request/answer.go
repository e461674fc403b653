package request

import "primrosespoke.dev/coord/invariant"

// FrameVerdict is what becomes of a frame.
type FrameVerdict int

// Verdicts on a frame.
const (
	// FrameAccepted means that the returned bytes are the next of the answer.
	FrameAccepted FrameVerdict = iota
	// FrameLate means that the frame belongs to an earlier attempt; it is dropped.
	FrameLate
	// FrameForeign means that the frame belongs to another request; it is dropped.
	FrameForeign
	// FrameOverlap means that the frame holds only bytes that were sent before; it is dropped.
	FrameOverlap
	// FrameGap means that bytes before the frame are missing: read again from Offset.
	FrameGap
)

var frameVerdictNames = [...]string{"accepted", "late", "foreign", "overlap", "gap"}

// String names the verdict for metrics.
func (v FrameVerdict) String() string {
	return frameVerdictNames[v]
}

// Answer checks the frames of one request's answer, so that the caller gets
// each byte once and in order. It is used by one goroutine.
type Answer struct {
	id      string
	attempt uint32
	offset  int64
}

// NewAnswer returns an empty answer of a request.
func NewAnswer(id string) *Answer {
	return &Answer{id: id}
}

// Offset returns the number of bytes accepted by now.
func (a *Answer) Offset() int64 {
	return a.offset
}

// BeginAttempt expects the frames of an attempt from now on. Another attempt than
// before is allowed only while nothing was accepted.
func (a *Answer) BeginAttempt(attempt uint32) {
	invariant.Check(a.offset == 0 || attempt == a.attempt, "request/one-attempt-per-answer",
		"request %s: attempt %d after %d bytes of attempt %d", a.id, attempt, a.offset, a.attempt)
	a.attempt = attempt
}

// CheckOwner tells whether a frame belongs to the request and its attempt.
func (a *Answer) CheckOwner(id string, attempt uint32) FrameVerdict {
	if id != a.id {
		return FrameForeign
	}
	if attempt != a.attempt {
		return FrameLate
	}
	return FrameAccepted
}

// AcceptChunk takes a chunk at an offset and returns those of its bytes that come
// next; bytes that were accepted before are dropped from its front.
func (a *Answer) AcceptChunk(offset int64, data []byte) ([]byte, FrameVerdict) {
	if offset > a.offset {
		return nil, FrameGap
	}
	known := a.offset - offset
	if known >= int64(len(data)) && len(data) > 0 {
		return nil, FrameOverlap
	}
	next := data[min(known, int64(len(data))):]
	a.offset += int64(len(next))
	return next, FrameAccepted
}

// CheckLength takes the length of the whole answer and tells whether all of it was accepted.
func (a *Answer) CheckLength(length int64) FrameVerdict {
	if length != a.offset {
		return FrameGap
	}
	return FrameAccepted
}
