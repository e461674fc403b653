package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"primrosespoke.dev/coord/origin"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/peer/backend"
)

const (
	// eventBufferBytes is the size of the buffer that a stream is read through.
	eventBufferBytes = 16 << 10
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 4 << 20
	// progressInterval is the minimum time between two progress messages of a stream without
	// a complete gap sample.
	progressInterval = 150 * time.Millisecond
	// callerWriteTimeout is how long a write to a caller may block before its stream is
	// ended.
	callerWriteTimeout = 5 * time.Second
)

// errMidEvent means that a stream ended in the middle of an event, so it was broken off,
// whether or not the framing of its body is complete.
var errMidEvent = errors.New("stream ended within an event")

// errEventTooLong means that an event is longer than maxEventBytes.
var errEventTooLong = errors.New("event is too long")

// statusLinePrefix begins the head of an answer. Where only the end of the connection marks the end
// of a stream, an endpoint that writes another answer after it is noticed by that alone.
var statusLinePrefix = []byte("HTTP/1.")

// errOtherAnswer means that the head of another answer came where an event was expected.
var errOtherAnswer = errors.New("head of another answer")

// eventReader splits a stream of server-sent events into events. Their bytes are as the
// endpoint sent them.
type eventReader struct {
	reader *bufio.Reader
	event  []byte // the current event
	id     string // of the current event; empty = none
	// reserve is called before the buffer of the event grows beyond eventBufferBytes to a size, and
	// with 0 once it no longer exceeds that; nil = none.
	reserve func(size int64) error
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next reads one event. It returns io.EOF after the last one.
func (e *eventReader) next() error {
	e.event, e.id = e.event[:0], ""
	if cap(e.event) > eventBufferBytes {
		e.event = nil
		if err := e.grow(0); err != nil {
			return err
		}
	}
	lineStart, hasContent := 0, false
	for {
		// A line longer than the buffer comes in pieces, all but the last with ErrBufferFull.
		piece, err := e.reader.ReadSlice('\n')
		if need := len(e.event) + len(piece); need > cap(e.event) && need > eventBufferBytes {
			size := min(2*need, maxEventBytes+2*eventBufferBytes)
			if err := e.grow(size); err != nil {
				return err
			}
			e.event = append(make([]byte, 0, size), e.event...)
		}
		e.event = append(e.event, piece...)
		switch {
		case len(e.event) > maxEventBytes:
			return errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(e.event) > 0:
			return errMidEvent
		case err != nil:
			return err
		}
		text := bytes.TrimRight(e.event[lineStart:], "\r\n")
		lineStart = len(e.event)
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 && hasContent {
			return nil
		}
		hasContent = hasContent || len(bytes.TrimSpace(text)) > 0
	}
}

func (e *eventReader) grow(size int) error {
	if e.reserve == nil {
		return nil
	}
	return e.reserve(int64(size))
}

// hasNext reports whether another complete event is already buffered.
func (e *eventReader) hasNext() bool {
	waiting, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && (bytes.Contains(waiting, []byte("\n\n")) || bytes.Contains(waiting, []byte("\n\r\n")))
}

// relayStream sends events to the caller as they arrive. It sends only complete events,
// so that another endpoint can continue a stream that breaks.
func (d *delivery) relayStream(p scheduler.Placement, conn *backend.Conn, resp *http.Response) (attemptResult, scheduler.Outcome) {
	events := newEventReader(resp.Body)
	held := d.front.answerMemory.newAnswer(p.Endpoint, conn.Close)
	defer held.release()
	events.reserve = func(size int64) error { return held.resize(d.attemptContext, size) }
	progress := progressReporter{front: d.front, id: d.id}
	for {
		err := events.next()
		if err == nil && backend.IsCloseDelimited(resp) && bytes.HasPrefix(events.event, statusLinePrefix) {
			err = errOtherAnswer
		}
		if err == io.EOF && d.endedWithEndpoint(p, conn, resp) {
			d.flush()
			return attemptResult{kind: mayHaveRun, reason: "stream broke off: " + reasonEndpointEnded, broken: true}, scheduler.Failed
		}
		if err == io.EOF {
			return d.endStream(conn, resp)
		}
		if err != nil {
			d.flush()
			return d.cutShort("stream broke off", err, held)
		}
		progress.event()
		if d.attemptWritingSince == 0 {
			d.attemptWritingSince = d.front.now()
		}
		if d.isRepeated(events.id) {
			continue
		}
		if !d.passEvent(p, resp, events) {
			return finishedWith(outcomeGone), scheduler.Abandoned
		}
	}
}

// flush sends the events that are buffered, which the caller should have whether or not the stream
// goes on.
func (d *delivery) flush() {
	if !d.streamStarted {
		return
	}
	if err := http.NewResponseController(d.writer).Flush(); err != nil {
		d.front.log.Debug().Str("request_id", d.call.ID).Err(err).Msg("answer_not_written")
	}
}

// isRepeated reports whether the caller was already sent the event, by an earlier attempt.
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

// passEvent sends an event to the caller. It returns false if the caller has gone.
func (d *delivery) passEvent(p scheduler.Placement, resp *http.Response, events *eventReader) bool {
	if !d.streamStarted {
		d.streamStarted = true
		d.writeHead(resp.Header)
		d.writer.WriteHeader(resp.StatusCode)
	}
	d.recordVersion(p)
	d.recordGap()
	control := http.NewResponseController(d.writer)
	if err := control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		d.front.log.Debug().Err(err).Msg("write_deadline_not_set")
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

// recordVersion records which software version the events come from. The first event of a stream
// decides at which one it may go on.
func (d *delivery) recordVersion(p scheduler.Placement) {
	if d.streamVersion == "" {
		d.streamVersion, d.beganStream = p.Version, d.admission.Route.Resumable
		if d.beganStream {
			d.front.send(streamBegunMessage{key: d.originKey(), service: d.service, placement: p})
		}
	}
	if d.streamVersion != p.Version {
		d.front.log.Error().Str("request_id", d.call.ID).Str("endpoint", p.Endpoint).Str("endpoint_version", p.Version).
			Str("endpoint_before", d.eventsFrom).Str("version_before", d.streamVersion).Msg("stream_version_changed")
		d.front.metrics.versionChanges.Add(d.front.baseContext, 1)
	}
	d.eventsFrom = p.Endpoint
}

// originKey returns the key under which a stream that begins with this attempt is known.
func (d *delivery) originKey() origin.Key {
	return origin.KeyOf(d.admission.AccountName(), d.call.ID)
}

// recordGap updates the longest time between two events of the stream.
func (d *delivery) recordGap() {
	now := d.front.now()
	if d.lastEventAt > 0 {
		d.longestGap = max(d.longestGap, now-d.lastEventAt)
	}
	d.lastEventAt = now
}

// endStream ends a stream that the endpoint completed.
func (d *delivery) endStream(conn *backend.Conn, resp *http.Response) (attemptResult, scheduler.Outcome) {
	if !d.streamStarted {
		// The stream has no events: the caller gets the endpoint's status and headers.
		d.streamStarted = true
		d.writeHead(resp.Header)
		d.writer.WriteHeader(resp.StatusCode)
	}
	conn.Release(resp)
	result := finishedWith(outcomeAnswered)
	result.answered = true
	return result, scheduler.Answered
}

// progressReporter reports a stream's first event and its progress to the scheduler.
type progressReporter struct {
	front       *Front
	id          uint64
	started     bool
	lastEventAt time.Time
	lastSent    time.Time       // when the scheduler was last told
	gaps        []time.Duration // between events, since the last complete sample
}

// event records that an event arrived.
func (p *progressReporter) event() {
	now := time.Now()
	if !p.started {
		p.started, p.lastEventAt, p.lastSent = true, now, now
		p.front.send(firstEventMessage{id: p.id})
		return
	}
	p.gaps = append(p.gaps, now.Sub(p.lastEventAt))
	p.lastEventAt = now
	sample := scheduler.GapSample(p.gaps)
	if sample > 0 {
		p.gaps = p.gaps[:0]
	}
	if sample > 0 || now.Sub(p.lastSent) >= progressInterval {
		p.lastSent = now
		p.front.send(progressMessage{id: p.id, gap: sample})
	}
}
