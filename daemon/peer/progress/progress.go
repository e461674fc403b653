// Package progress bounds calls by the time without progress in place of their whole length,
// so that a long answer on a slow connection arrives, and a silent one is still noticed.
package progress

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled is the cause of the end of a context whose call made no progress.
var ErrStalled = errors.New("no progress")

// Limits bound a call.
type Limits struct {
	// First is the time to the first byte of the answer, and Stall the time between two reads
	// that return bytes.
	First, Stall time.Duration
	// Total bounds the whole call, since a peer may send a byte now and then without end.
	Total time.Duration
}

// tracker ends a context when its call makes no progress.
type tracker struct {
	mu      sync.Mutex
	timer   *time.Timer
	stall   time.Duration
	started chan struct{} // closed at the first report
	once    sync.Once
}

type trackerKey struct{}

// WithLimits returns a context that ends as soon as the call that it is passed to exceeds a
// limit. The call must report its progress; see Reader.
func WithLimits(parent context.Context, l Limits) (context.Context, context.CancelFunc) {
	bounded, cancelBounded := context.WithTimeoutCause(parent, l.Total, ErrStalled)
	ctx, cancel := context.WithCancelCause(bounded)
	t := &tracker{stall: l.Stall, started: make(chan struct{})}
	t.timer = time.AfterFunc(l.First, func() { cancel(ErrStalled) })
	return context.WithValue(ctx, trackerKey{}, t), func() {
		t.timer.Stop()
		cancel(context.Canceled)
		cancelBounded()
	}
}

// Started returns a channel that is closed when the call that has the context has received its
// first byte; nil if the context has no limits.
func Started(ctx context.Context) <-chan struct{} {
	if t, ok := ctx.Value(trackerKey{}).(*tracker); ok {
		return t.started
	}
	return nil
}

// Report records that the call that has the context made progress.
func Report(ctx context.Context) {
	t, ok := ctx.Value(trackerKey{}).(*tracker)
	if !ok {
		return
	}
	t.once.Do(func() { close(t.started) })
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer.Stop() {
		t.timer.Reset(t.stall)
	}
}

// Reader returns a reader of r that reports progress to the context.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	return reader{ctx: ctx, r: r}
}

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Report(r.ctx)
	}
	return n, err
}
