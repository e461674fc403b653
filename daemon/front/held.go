package front

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// defaultHeldBytes bounds the bytes of answers that a front holds where no bound is set.
	defaultHeldBytes = 64 << 20
	// minPieceBytes and maxPieceBytes bound the pieces in which the body of an answer is held.
	minPieceBytes = 512
	maxPieceBytes = 64 << 10
)

// errNoRoom means that an answer was given up, since the answers in memory had taken all the room
// for them and its endpoint had the most of it.
var errNoRoom = errors.New("no room for the answer")

// errAnswerTooLong means that the body of an answer is longer than maxAnswerBytes.
var errAnswerTooLong = errors.New("answer is too long")

// answerMemory bounds the bytes of endpoints' answers that a front holds. Once it is spent, the
// endpoint whose answers take most of it loses its largest one, so that an endpoint that sends
// without end does not take the room of others.
type answerMemory struct {
	mu         sync.Mutex
	room       *sync.Cond // signalled when held decreases or an answer is given up
	limit      int64
	held       int64
	leaving    int64 // the part of held whose answers were given up and are about to be released
	delivering int64 // the part of held that is being written to callers, which is never given up
	answers    map[*heldAnswer]struct{}
	writing    *transfers // of answers to callers
	ended      func(*transfer)
}

func newAnswerMemory(limit int64) *answerMemory {
	m := &answerMemory{limit: limit, answers: map[*heldAnswer]struct{}{}, writing: newTransfers(), ended: func(*transfer) {}}
	m.room = sync.NewCond(&m.mu)
	return m
}

// heldState says what happens to an answer.
type heldState int

const (
	// heldReading: the answer is being read.
	heldReading heldState = iota
	// heldParked: the answer is whole, and the caller gets it only if no further attempt succeeds.
	heldParked
	// heldDelivering: the answer is whole, and the caller gets it.
	heldDelivering
)

// heldAnswer is what a front holds of one answer. Except to give it up, one goroutine uses it.
type heldAnswer struct {
	memory   *answerMemory
	endpoint string
	giveUp   func() // ends the reading

	// Guarded by the mutex of memory.
	state   heldState
	size    int64
	givenUp bool

	pieces [][]byte // not of a stream
}

func (m *answerMemory) newAnswer(endpoint string, giveUp func()) *heldAnswer {
	h := &heldAnswer{memory: m, endpoint: endpoint, giveUp: giveUp}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers[h] = struct{}{}
	return h
}

// reserve waits until there is room for more bytes of the answer.
func (h *heldAnswer) reserve(ctx context.Context, n int64) error {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.takeRoom(n) {
		return nil
	}
	defer context.AfterFunc(ctx, m.wake)()
	for {
		m.makeRoom(n)
		switch {
		case h.givenUp:
			return errNoRoom
		case h.takeRoom(n):
			return nil
		case ctx.Err() != nil:
			return context.Cause(ctx)
		}
		if m.held-m.leaving+n > m.limit {
			if x := m.writing.endOne(); x != nil {
				m.ended(x)
			}
		}
		wake := time.AfterFunc(endTransferInterval, m.wake) // an answer may be read slowly by then
		m.room.Wait()
		wake.Stop()
	}
}

func (m *answerMemory) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.room.Broadcast()
}

// takeRoom reports whether there is room for more bytes, and takes it.
func (h *heldAnswer) takeRoom(n int64) bool {
	if h.givenUp || h.memory.held+n > h.memory.limit {
		return false
	}
	h.memory.held += n
	h.size += n
	return true
}

// makeRoom gives up answers until there will be room for n bytes, or until what is written to
// callers takes more than any endpoint's other answers: that ends by itself.
func (m *answerMemory) makeRoom(n int64) {
	for m.held-m.leaving+n > m.limit {
		largest, total := m.mostOfOneEndpoint()
		if largest == nil || total <= m.delivering {
			return
		}
		largest.givenUp = true
		m.room.Broadcast()
		if largest.state == heldParked {
			largest.free()
			continue
		}
		m.leaving += largest.size
		largest.giveUp()
	}
}

// mostOfOneEndpoint returns the largest answer that can be given up of the endpoint that has the
// most bytes of such answers, and how many these are.
func (m *answerMemory) mostOfOneEndpoint() (largest *heldAnswer, total int64) {
	totals := map[string]int64{}
	for h := range m.answers {
		if !h.givenUp && h.state != heldDelivering {
			totals[h.endpoint] += h.size
		}
	}
	for h := range m.answers {
		if h.givenUp || h.state == heldDelivering || h.size == 0 {
			continue
		}
		sum := totals[h.endpoint]
		if largest == nil || sum > total || sum == total && h.endpoint == largest.endpoint && h.size > largest.size {
			largest, total = h, sum
		}
	}
	return largest, total
}

// readBody reads the body of an answer, whose length is -1 if it is not stated.
func (h *heldAnswer) readBody(ctx context.Context, body io.Reader, length int64) error {
	size := min(max(length, minPieceBytes), maxPieceBytes)
	for total := int64(0); total <= maxAnswerBytes; size = min(2*size, maxPieceBytes) {
		if err := h.reserve(ctx, size); err != nil {
			return err
		}
		piece, n := make([]byte, size), 0
		var err error
		for n < len(piece) && err == nil {
			var read int
			read, err = body.Read(piece[n:])
			n += read
		}
		h.pieces = append(h.pieces, piece[:n])
		total += int64(n)
		switch {
		case h.wasGivenUp():
			return errNoRoom
		case err == io.EOF && total <= maxAnswerBytes:
			return nil
		case err != nil && err != io.EOF:
			return err
		}
	}
	return errAnswerTooLong
}

func (h *heldAnswer) wasGivenUp() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.givenUp
}

// keep records that the answer is whole, so that giving it up no longer ends its connection. It
// returns false if it was given up before.
func (h *heldAnswer) keep(state heldState) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.givenUp {
		return false
	}
	if h.state == heldDelivering {
		m.delivering -= h.size
	}
	if state == heldDelivering {
		m.delivering += h.size
	}
	h.state = state
	m.room.Broadcast()
	return true
}

// length returns the length of the body.
func (h *heldAnswer) length() int {
	n := 0
	for _, piece := range h.pieces {
		n += len(piece)
	}
	return n
}

// release gives the room of the answer back.
func (h *heldAnswer) release() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.free()
}

// free is release with the mutex held.
func (h *heldAnswer) free() {
	m := h.memory
	if _, ok := m.answers[h]; !ok {
		return
	}
	delete(m.answers, h)
	m.shrink(h, h.size)
	h.pieces = nil
}

// shrink takes bytes off what an answer holds.
func (m *answerMemory) shrink(h *heldAnswer, n int64) {
	h.size -= n
	m.held -= n
	switch {
	case h.state == heldDelivering:
		m.delivering -= n
	case h.givenUp && h.state == heldReading:
		m.leaving -= n
	}
	m.room.Broadcast()
}

// resize waits until the answer may hold size bytes.
func (h *heldAnswer) resize(ctx context.Context, size int64) error {
	before := h.bytes()
	if size > before {
		return h.reserve(ctx, size-before)
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.shrink(h, before-size)
	return nil
}

// bytes returns how many bytes the answer holds.
func (h *heldAnswer) bytes() int64 {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.size
}
