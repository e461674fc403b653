package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 4096
	// flushBytes is the size from which lines are written without waiting, in bytes.
	flushBytes = 32 << 10
	// flushInterval is the longest time that a line waits.
	flushInterval = 200 * time.Millisecond
)

// AsyncWriter writes log lines from a goroutine of its own, so that a slow reader
// of the log holds nobody up. Lines beyond its memory are dropped and counted.
type AsyncWriter struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	worker    sync.WaitGroup
	closeOnce sync.Once
}

// NewAsyncWriter returns a writer that must be closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
	w.worker.Go(w.run)
	return w
}

// Write implements io.Writer. It never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. Nothing may be written after it.
func (w *AsyncWriter) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	w.worker.Wait()
}

func (w *AsyncWriter) run() {
	var batch []byte
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case line, open := <-w.lines:
			batch = append(batch, line...)
			if !open {
				w.flush(batch)
				return
			}
			if len(batch) < flushBytes {
				continue
			}
		case <-ticker.C:
		}
		w.flush(batch)
		batch = batch[:0]
	}
}

func (w *AsyncWriter) flush(batch []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "time=%s level=warn event=log_lines_dropped count=%d\n",
			time.Now().UTC().Format("2006-01-02T15:04:05.000000Z07:00"), n)
	}
	if len(batch) == 0 {
		return
	}
	if _, err := w.out.Write(batch); err != nil {
		w.dropped.Add(1) // counted with the next batch
	}
}
