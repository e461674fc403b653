package front

import (
	"errors"
	"io"
	"math"
	"sync"
	"time"
)

// Callers that send a large body or read an answer slowly keep room that others wait for. While
// others wait, the transfer is ended that holds still, and among those, or else among the slow ones,
// the one with the most bytes of room times the time since it began.
const (
	// stillTransferTime is how long nothing must have moved for a transfer to hold still. None is
	// ended in its first second either.
	stillTransferTime = time.Second
	// slowTransferRate is the rate in bytes a second below which a transfer is slow. A link of
	// 10 Mbit/s has room for some eighty such transfers.
	slowTransferRate = 16 << 10
	// endTransferInterval is the least time between the ends of two transfers for want of room: the
	// room of the first must have been given back before a second is looked for.
	endTransferInterval = 100 * time.Millisecond
)

// errTransferEnded means that a transfer was ended for others.
var errTransferEnded = errors.New("ended, since others waited for its room")

// writePieceBytes is the part of an answer that is written at a time, so that a caller that reads no
// slower than slowTransferRate does not seem to hold still.
const writePieceBytes = 16 << 10

// transfer is a body that is read from a caller or an answer that is written to it.
type transfer struct {
	id    string // of the request
	room  int64
	begun time.Time
	end   func() // has the read or write in progress fail

	// Guarded by the mutex of transfers.
	moved   int64 // bytes
	window  rateWindow
	waiting time.Time // since when the caller is awaited; zero = it is not
	ended   bool
}

// transfers are those that hold room of one bound.
type transfers struct {
	mu      sync.Mutex
	all     map[*transfer]struct{}
	lastEnd time.Time
}

func newTransfers() *transfers {
	return &transfers{all: map[*transfer]struct{}{}}
}

// begin adds a transfer.
func (t *transfers) begin(id string, room int64, end func()) *transfer {
	now := time.Now()
	x := &transfer{id: id, room: room, begun: now, end: end, window: rateWindow{begun: now, last: math.Inf(1)}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all[x] = struct{}{}
	return x
}

// remove removes a transfer that is complete or has failed.
func (t *transfers) remove(x *transfer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, x)
}

// move carries out a read or write of a transfer, unless it was ended.
func (t *transfers) move(x *transfer, do func() (int, error)) (int, error) {
	t.mu.Lock()
	x.waiting = time.Now()
	ended := x.ended
	t.mu.Unlock()
	if ended {
		return 0, errTransferEnded
	}
	n, err := do()
	t.mu.Lock()
	defer t.mu.Unlock()
	x.waiting = time.Time{}
	x.moved += int64(n)
	x.window.add(n)
	return n, err
}

// endOne ends the transfer that comes first, and returns a copy of it; nil = there is none to end, or one was
// ended just now.
func (t *transfers) endOne() *transfer {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastEnd) < endTransferInterval {
		return nil
	}
	var first *transfer
	var firstStill bool
	for x := range t.all {
		still, ok := x.mayEnd(now)
		if !ok || first != nil && (firstStill && !still || firstStill == still && first.weight(now) >= x.weight(now)) {
			continue
		}
		first, firstStill = x, still
	}
	if first == nil {
		return nil
	}
	t.lastEnd, first.ended = now, true
	first.end()
	ended := *first
	return &ended
}

// mayEnd tells whether a transfer may be ended for others, and whether it holds still.
func (x *transfer) mayEnd(now time.Time) (still, ok bool) {
	age := now.Sub(x.begun)
	if x.ended || x.waiting.IsZero() || age < stillTransferTime {
		return false, false
	}
	still = now.Sub(x.waiting) >= stillTransferTime
	return still, still || x.window.rate(now) < slowTransferRate
}

// rateWindow measures the rate of the last stillTransferTime or somewhat more: a caller that has sent
// much at once and then little is slow.
type rateWindow struct {
	begun time.Time
	moved int64
	last  float64 // of the window before, in bytes a second
}

func (w *rateWindow) add(n int) {
	w.moved += int64(n)
	if now := time.Now(); now.Sub(w.begun) >= stillTransferTime {
		*w = rateWindow{begun: now, last: w.rate(now)}
	}
}

func (w *rateWindow) rate(now time.Time) float64 {
	if age := now.Sub(w.begun); age >= stillTransferTime {
		return float64(w.moved) / age.Seconds()
	}
	return w.last
}

// weight returns the bytes of room times the seconds.
func (x *transfer) weight(now time.Time) float64 {
	return float64(x.room) * now.Sub(x.begun).Seconds()
}

// movedReader reads the body of a transfer.
type movedReader struct {
	io.Reader
	transfers *transfers
	transfer  *transfer
}

// Read implements io.Reader.
func (r movedReader) Read(p []byte) (int, error) {
	return r.transfers.move(r.transfer, func() (int, error) { return r.Reader.Read(p) })
}

// logTransfer logs a transfer that was ended for others, with what decided.
func (f *Front) logTransfer(event string, x *transfer) {
	f.log.Warn().Int64("room_bytes", x.room).Int64("moved_bytes", x.moved).Int64("age_ms", time.Since(x.begun).Milliseconds()).
		Str("request_id", x.id).Msg(event)
}
