package request

import "primrosespoke.dev/coord/invariant"

// FrameVerdict tells how a frame of an answer is handled.
type FrameVerdict int

// Verdicts on a frame.
const (
	// FrameAccepted means that the frame belongs to the answer and continues it.
	FrameAccepted FrameVerdict = iota
	// FrameLate means that the frame belongs to an attempt other than the current one; it is dropped.
	FrameLate
	// FrameForeign means that the frame belongs to another request; it is dropped.
	FrameForeign
	// FrameOverlap means that the frame holds only bytes that were accepted before; it is dropped.
	FrameOverlap
	// FrameGap means that bytes before the frame are missing; the answer must be read again from Offset.
	FrameGap
)

var frameVerdictNames = [...]string{"accepted", "late", "foreign", "overlap", "gap"}

// String returns the verdict's name, a label value of metrics.
func (v FrameVerdict) String() string {
	return frameVerdictNames[v]
}

// Answer checks the frames of one request's answer, so that the caller gets
// each byte once and in order. It is not safe for concurrent use.
type Answer struct {
	id      string
	attempt uint32
	offset  int64
}

// NewAnswer returns the empty answer of the request with an ID.
func NewAnswer(id string) *Answer {
	return &Answer{id: id}
}

// Offset returns the number of bytes accepted so far.
func (a *Answer) Offset() int64 {
	return a.offset
}

// BeginAttempt sets the attempt whose frames are accepted from now on. It may
// change the attempt only while no bytes were accepted.
func (a *Answer) BeginAttempt(attempt uint32) {
	invariant.Check(a.offset == 0 || attempt == a.attempt, "request/one-attempt-per-answer",
		"request %s: attempt %d after %d bytes of attempt %d", a.id, attempt, a.offset, a.attempt)
	a.attempt = attempt
}

// CheckOwner tells whether a frame belongs to this request and its current attempt.
func (a *Answer) CheckOwner(id string, attempt uint32) FrameVerdict {
	if id != a.id {
		return FrameForeign
	}
	if attempt != a.attempt {
		return FrameLate
	}
	return FrameAccepted
}

// AcceptChunk accepts the bytes of a chunk that continue the answer and returns
// them. Bytes that were accepted before are cut off the chunk's start.
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

// CheckLength tells whether an answer of the given total length was accepted completely.
func (a *Answer) CheckLength(length int64) FrameVerdict {
	if length != a.offset {
		return FrameGap
	}
	return FrameAccepted
}
