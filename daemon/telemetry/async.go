package telemetry

import (
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the number of lines that wait to be written.
	maxQueuedLines = 4096
	// flushBytes is the size of a batch, in bytes, at which it is written at once.
	flushBytes = 32 << 10
	// flushInterval is the longest time that a line waits in a batch.
	flushInterval = 200 * time.Millisecond
)

// AsyncWriter buffers log lines and writes them in batches on a separate goroutine, so
// that a slow reader of the log does not block the goroutines that log. When the buffer
// is full, lines are dropped, and their number is logged.
type AsyncWriter struct {
	out       io.Writer
	lines     chan []byte
	closing   chan struct{}
	dropped   atomic.Int64
	failing   bool // the last batch could not be written; reported on standard error
	worker    sync.WaitGroup
	closeOnce sync.Once
}

// NewAsyncWriter returns a writer to out that must be closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{})}
	w.worker.Go(w.run)
	return w
}

// Write implements io.Writer. It never blocks: a line that finds the buffer full is dropped, and
// so is one after Close.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the buffered lines and stops the goroutine.
func (w *AsyncWriter) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	w.worker.Wait()
}

// run collects lines into batches and writes each when it is large enough or the interval ends.
func (w *AsyncWriter) run() {
	var batch []byte
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			if len(batch) < flushBytes {
				continue
			}
		case <-w.closing:
			w.flush(w.appendQueued(batch))
			return
		case <-ticker.C:
		}
		w.flush(batch)
		batch = batch[:0]
	}
}

// appendQueued appends the lines that are in the buffer now.
func (w *AsyncWriter) appendQueued(batch []byte) []byte {
	for range len(w.lines) {
		batch = append(batch, <-w.lines...)
	}
	return batch
}

// flush writes a batch and, at its end, the number of lines dropped since the last one.
func (w *AsyncWriter) flush(batch []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "time=%s level=warn event=log_lines_dropped count=%d\n",
			time.Now().UTC().Format("2006-01-02T15:04:05.000000Z07:00"), n)
	}
	if len(batch) == 0 {
		return
	}
	_, err := w.out.Write(batch)
	if err != nil {
		w.dropped.Add(1) // logged with the next batch; a failed batch counts as one line
	}
	if err != nil && !w.failing {
		fmt.Fprintf(os.Stderr, "log lines are lost: %v\n", err)
	}
	w.failing = err != nil
}
