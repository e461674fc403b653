package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/peer/backend"
)

const (
	eventBufferBytes = 16 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 4 << 20
	// progressInterval is the least time between two messages on a stream's progress.
	progressInterval = 150 * time.Millisecond
	// callerWriteTimeout is how long a caller may take nothing before its stream is cut.
	callerWriteTimeout = 5 * time.Second
)

// errMidEvent means that a stream ended within an event.
var errMidEvent = errors.New("stream ended within an event")

// eventReader splits a stream into events. Each event is as the endpoint sent it.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
	id     string
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next reads one event. It returns io.EOF after the last one.
func (e *eventReader) next() error {
	e.event, e.id = e.event[:0], ""
	for {
		line, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.event) < maxEventBytes {
			continue
		}
		if err == io.EOF && len(e.event) > 0 {
			return errMidEvent
		}
		if err != nil {
			return err
		}
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 && len(bytes.TrimSpace(e.event)) > 0 {
			return nil
		}
	}
}

// hasNext tells whether another whole event has come already.
func (e *eventReader) hasNext() bool {
	waiting, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && (bytes.Contains(waiting, []byte("\n\n")) || bytes.Contains(waiting, []byte("\n\r\n")))
}

// relayStream passes events on as they come. Only whole events are passed on, so that a
// stream that breaks can go on elsewhere.
func (d *delivery) relayStream(conn *backend.Conn, resp *http.Response) (attemptResult, scheduler.Outcome) {
	events := newEventReader(resp.Body)
	pace := progressReporter{front: d.front, id: d.id}
	for {
		err := events.next()
		if err == io.EOF {
			return d.endStream(conn, resp)
		}
		if errors.Is(err, errMidEvent) && !backend.Unframed(resp) {
			// The endpoint says that this is the end, and what follows the last blank line is part of it.
			if !d.passEvent(resp, events) {
				return finishedWith(outcomeGone), scheduler.Abandoned
			}
			return d.endStream(conn, resp)
		}
		if err != nil {
			return attemptResult{kind: mayHaveRun, reason: "stream broke off: " + d.failureReason(err)}, d.connectionOutcome()
		}
		pace.event()
		if d.isRepeated(events.id) {
			continue
		}
		if !d.passEvent(resp, events) {
			return finishedWith(outcomeGone), scheduler.Abandoned
		}
	}
}

// isRepeated tells whether the caller has the event already, from an earlier attempt.
func (d *delivery) isRepeated(id string) bool {
	if d.lastEvent == "" || id == "" {
		return false
	}
	last, err := strconv.ParseInt(d.lastEvent, 10, 64)
	if err != nil {
		return false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err == nil && number <= last
}

// passEvent writes an event; false if the caller has gone.
func (d *delivery) passEvent(resp *http.Response, events *eventReader) bool {
	if !d.streamStarted {
		d.streamStarted = true
		d.writeHead(resp.Header)
		d.writer.WriteHeader(resp.StatusCode)
	}
	d.recordGap()
	control := http.NewResponseController(d.writer)
	if err := control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		d.front.log.Debug().Err(err).Msg("no_write_deadline")
	}
	if _, err := d.writer.Write(events.event); err != nil {
		return false
	}
	if events.id != "" {
		d.lastEvent = events.id
	}
	if events.hasNext() {
		return true
	}
	return control.Flush() == nil
}

// recordGap keeps the longest time between two events of the stream.
func (d *delivery) recordGap() {
	now := d.front.now()
	if d.lastEventAt > 0 {
		d.longestGap = max(d.longestGap, now-d.lastEventAt)
	}
	d.lastEventAt = now
}

// endStream completes a stream whose endpoint said that it is whole.
func (d *delivery) endStream(conn *backend.Conn, resp *http.Response) (attemptResult, scheduler.Outcome) {
	if !d.streamStarted {
		// An answer without events is passed on as it is.
		d.streamStarted = true
		d.writeHead(resp.Header)
		d.writer.WriteHeader(resp.StatusCode)
	}
	conn.Release(resp)
	return finishedWith(outcomeAnswered), scheduler.Answered
}

// progressReporter tells the scheduler how a stream goes on.
type progressReporter struct {
	front       *Front
	id          uint64
	started     bool
	lastEventAt time.Time
	lastSent    time.Time
	gaps        []time.Duration
}

func (m *progressReporter) event() {
	now := time.Now()
	if !m.started {
		m.started, m.lastEventAt, m.lastSent = true, now, now
		m.front.send(eventMessage{id: m.id})
		return
	}
	m.gaps = append(m.gaps, now.Sub(m.lastEventAt))
	m.lastEventAt = now
	sample := scheduler.GapSample(m.gaps)
	if sample > 0 {
		m.gaps = m.gaps[:0]
	}
	if sample > 0 || now.Sub(m.lastSent) >= progressInterval {
		m.lastSent = now
		m.front.send(progressMessage{id: m.id, gap: sample})
	}
}
