package agent

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

var (
	errStopped   = errors.New("agent has stopped")
	errDiscarded = errors.New("the answer is no longer held from this offset")
)

// maxAnswerBytes bounds the bytes buffered of one answer. At the limit, the bytes
// that all readers have are dropped, and the endpoint is read no faster than the
// slowest reader reads.
const maxAnswerBytes = 8 << 20

// answer buffers the bytes of one run's answer between the endpoint and the readers.
type answer struct {
	mu      sync.Mutex
	head    *nodepb.Head // nil until the status is known
	base    int64        // offset of data's first byte
	data    []byte
	end     *nodepb.End
	refusal *nodepb.Refusal
	readers map[*reader]struct{}
	changed chan struct{} // closed and replaced by signal
	limit   int           // in bytes, for data
}

// reader reads an answer from an offset. Its fields are guarded by the answer's mutex.
type reader struct {
	answer   *answer
	offset   int64
	headSent bool // also set for a reader that begins after offset 0
}

func newAnswer() *answer {
	return &answer{readers: map[*reader]struct{}{}, changed: make(chan struct{}), limit: maxAnswerBytes}
}

// signal wakes all that wait for a change; a.mu must be held.
func (a *answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *answer) setHead(head *nodepb.Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = head
	a.signal()
}

// write appends bytes. While the buffer is full it blocks until the slowest reader
// has read on.
func (a *answer) write(ctx context.Context, p []byte) error {
	for {
		a.mu.Lock()
		a.trim()
		if len(a.data) < a.limit {
			a.data = append(a.data, p...)
			a.signal()
			a.mu.Unlock()
			return nil
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// trim drops the bytes that every reader has, if the buffer is full; a.mu must be held.
func (a *answer) trim() {
	if len(a.data) < a.limit || len(a.readers) == 0 {
		return
	}
	slowest := a.base + int64(len(a.data))
	for r := range a.readers {
		slowest = min(slowest, r.offset)
	}
	a.data = append([]byte(nil), a.data[slowest-a.base:]...)
	a.base = slowest
}

// finish ends the answer and sets end.Bytes. It does nothing if the answer has ended.
func (a *answer) finish(end *nodepb.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil || a.refusal != nil {
		return
	}
	end.Bytes = a.base + int64(len(a.data))
	a.end = end
	a.signal()
}

// refuse ends an answer of which nothing was sent. It does nothing if the answer has ended.
func (a *answer) refuse(refusal *nodepb.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil || a.refusal != nil {
		return
	}
	a.refusal = refusal
	a.signal()
}

func (a *answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.data))
}

// hasHead reports whether the answer has begun.
func (a *answer) hasHead() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head != nil
}

// discard frees the buffered bytes; readers that have not read them get errDiscarded.
func (a *answer) discard() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.base += int64(len(a.data))
	a.data = nil
	a.signal()
}

// open returns a reader from an offset, or errDiscarded if the offset is not in the buffer.
func (a *answer) open(offset int64) (*reader, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset < a.base || offset > a.base+int64(len(a.data)) {
		return nil, errDiscarded
	}
	r := &reader{answer: a, offset: offset, headSent: offset > 0}
	a.readers[r] = struct{}{}
	return r, nil
}

// close removes the reader, so that write no longer waits for it.
func (r *reader) close() {
	r.answer.mu.Lock()
	defer r.answer.mu.Unlock()
	delete(r.answer.readers, r)
	r.answer.signal()
}

// next waits for the next frame and returns it without its request ID and attempt.
// The last frame is an End or a Refusal.
func (r *reader) next(ctx context.Context) (*nodepb.Frame, error) {
	for {
		r.answer.mu.Lock()
		frame, err := r.tryNext()
		changed := r.answer.changed
		r.answer.mu.Unlock()
		if frame != nil || err != nil {
			return frame, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryNext returns the next frame, or nil if there is none yet; the answer's mutex must be held.
func (r *reader) tryNext() (*nodepb.Frame, error) {
	a := r.answer
	if r.offset < a.base {
		return nil, errDiscarded
	}
	if !r.headSent && a.head != nil {
		r.headSent = true
		return &nodepb.Frame{Offset: r.offset, Kind: &nodepb.Frame_Head{Head: a.head}}, nil
	}
	if unread := a.data[r.offset-a.base:]; len(unread) > 0 {
		chunk := append([]byte(nil), unread[:min(len(unread), node.MaxChunkBytes)]...)
		frame := &nodepb.Frame{Offset: r.offset, Kind: &nodepb.Frame_Chunk{Chunk: chunk}}
		r.offset += int64(len(chunk))
		if len(a.data) >= a.limit {
			a.signal()
		}
		return frame, nil
	}
	if a.refusal != nil {
		return &nodepb.Frame{Offset: r.offset, Kind: &nodepb.Frame_Refusal{Refusal: a.refusal}}, nil
	}
	if a.end != nil {
		return &nodepb.Frame{Offset: r.offset, Kind: &nodepb.Frame_End{End: a.end}}, nil
	}
	return nil, nil
}
