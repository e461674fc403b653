package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/semaphore"

	"primrosespoke.dev/daemon/intake"
)

const (
	// smallBodyBytes is the length up to which a body takes no room.
	smallBodyBytes = 16 << 10
	// defaultBodiesBytes bounds the bodies in memory where no bound is set.
	defaultBodiesBytes = 64 << 20
	// maxBodyWait limits for how long a request waits for room for its body.
	maxBodyWait = 2 * time.Second
	// bodyWaitShare is the fraction of its deadline for which a request waits for that room.
	bodyWaitShare = 0.5
)

// reasonNoBodyRoom is why a request is refused whose body is not read.
const reasonNoBodyRoom = "no room for the body"

// bodyMemory bounds the bytes of the bodies of callers' requests that a front holds.
type bodyMemory struct {
	limit   int64
	room    *semaphore.Weighted
	reading *transfers // of bodies that have room
}

// newBodyMemory returns a bound, which has room for the largest body.
func newBodyMemory(limit, largest int64) *bodyMemory {
	limit = max(limit, largest)
	return &bodyMemory{limit: limit, room: semaphore.NewWeighted(limit), reading: newTransfers()}
}

// acquire waits for room. Meanwhile bodies that do not come lose theirs.
func (m *bodyMemory) acquire(ctx context.Context, room int64, ended func(*transfer)) error {
	if m.room.TryAcquire(room) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for sleep(ctx, endTransferInterval); ctx.Err() == nil; sleep(ctx, endTransferInterval) {
			if x := m.reading.endOne(); x != nil {
				ended(x)
			}
		}
	}()
	return m.room.Acquire(ctx, room)
}

// readBody reads the whole body, since a request may be sent more than once and an
// endpoint may answer before it has read everything. A large one is read once there is room for it.
func (d *delivery) readBody() outcome {
	limit := d.front.maxBodyBytes(d.front.configuration.Load())
	length := d.request.ContentLength
	if length > limit {
		return d.denyLongBody(limit)
	}
	defer context.AfterFunc(d.front.endContext, d.endReading)()
	body := http.MaxBytesReader(d.writer, d.request.Body, limit)
	// A body that does not come must not keep its memory, nor its room once it is known to be large.
	control := http.NewResponseController(d.writer)
	if err := control.SetReadDeadline(time.Now().Add(d.bodyTimeLimit())); err != nil {
		d.front.log.Debug().Err(err).Msg("read_deadline_not_set")
	}
	if d.front.endContext.Err() != nil {
		d.endReading()
	}
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(length, 0), smallBodyBytes)+bytes.MinRead))
	_, err := io.CopyN(buffer, body, smallBodyBytes+1)
	switch {
	case err == io.EOF:
		d.body = buffer.Bytes()
		if err := control.SetReadDeadline(time.Time{}); err != nil {
			d.front.log.Debug().Err(err).Msg("read_deadline_not_set")
		}
		return ""
	case err != nil:
		return d.denyBody(err, limit)
	}
	if length < 0 {
		length = limit
	}
	return d.readLargeBody(buffer.Bytes(), body, length, limit)
}

// readLargeBody reads a body of at most the given length, whose beginning was read. limit is the
// longest body that is allowed.
func (d *delivery) readLargeBody(beginning []byte, body io.Reader, length, limit int64) outcome {
	memory := d.front.bodyMemory
	timeLimit := d.bodyTimeLimit()
	wait, cancel := context.WithTimeout(d.request.Context(), min(maxBodyWait, time.Duration(bodyWaitShare*float64(timeLimit))))
	defer cancel()
	defer context.AfterFunc(d.front.endContext, cancel)()
	room := min(length, memory.limit)
	if err := memory.acquire(wait, room, d.front.logBodyEnded); err != nil {
		d.front.metrics.bodiesRefused.Add(d.front.baseContext, 1)
		d.writer.Header().Set("Connection", "close") // the rest of the body is not read
		return d.refuseUnavailable(reasonNoBodyRoom, staleRetryAfter)
	}
	d.bodyRoom = room
	// A body that does not come must not keep its room.
	control := http.NewResponseController(d.writer)
	if err := control.SetReadDeadline(time.Now().Add(timeLimit)); err != nil {
		d.front.log.Debug().Err(err).Msg("read_deadline_not_set")
	}
	if d.front.endContext.Err() != nil {
		d.endReading()
	}
	reading := memory.reading.begin(d.call.ID, room, d.endReading)
	defer memory.reading.remove(reading)
	whole := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	whole.Write(beginning)
	if _, err := whole.ReadFrom(movedReader{Reader: body, transfers: memory.reading, transfer: reading}); err != nil {
		return d.denyBody(err, limit)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		d.front.log.Debug().Err(err).Msg("read_deadline_not_set")
	}
	d.body = whole.Bytes()
	if cap(d.body) > 2*len(d.body) {
		d.body = bytes.Clone(d.body) // its length was not stated
	}
	if rest := room - int64(len(d.body)); rest > 0 {
		memory.room.Release(rest)
		d.bodyRoom -= rest
	}
	return ""
}

// logBodyEnded logs that the reading of a body was ended for others.
func (f *Front) logBodyEnded(x *transfer) {
	f.metrics.transfersEnded.Add(f.baseContext, 1, metric.WithAttributes(attribute.String("kind", "body")))
	f.logTransfer("body_ended_for_others", x)
}

// bodyTimeLimit returns how long the body may take to arrive.
func (d *delivery) bodyTimeLimit() time.Duration {
	if d.call.Deadline > 0 {
		return d.call.Deadline
	}
	return defaultTimeLimit
}

// releaseBody gives the room of the body back.
func (d *delivery) releaseBody() {
	if d.bodyRoom > 0 {
		d.front.bodyMemory.room.Release(d.bodyRoom)
		d.bodyRoom = 0
	}
}

// denyBody answers a request whose body could not be read.
func (d *delivery) denyBody(err error, limit int64) outcome {
	var tooLarge *http.MaxBytesError
	switch {
	case d.front.endContext.Err() != nil:
		return d.refuseUnavailable(errStopping.Error(), minRetryAfter)
	case errors.Is(err, intake.ErrNoRoom), errors.Is(err, intake.ErrCut):
		d.writer.Header().Set("Connection", "close") // the rest of the body is not read
		return d.refuseUnavailable(err.Error(), staleRetryAfter)
	case errors.As(err, &tooLarge):
		return d.denyLongBody(limit)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errTransferEnded):
		return d.deny(http.StatusRequestTimeout, "body not received in time")
	}
	return d.deny(http.StatusBadRequest, "body unreadable")
}

// maxBodyBytes returns how long a body may be by a configuration.
func (f *Front) maxBodyBytes(state *configurationState) int64 {
	if t := state.table; t != nil && t.Limits.BodyBytes > 0 {
		return t.Limits.BodyBytes
	}
	return f.config.MaxBodyBytes
}

// denyLongBody answers a request whose body is longer than a limit. A newer version may allow it if
// the one in force is out of date, or if the limit was raised while the body was read.
func (d *delivery) denyLongBody(limit int64) outcome {
	state := d.front.configuration.Load()
	if state.table == nil {
		return d.refuseUnavailable(reasonNoConfiguration, staleRetryAfter)
	}
	if d.front.configurationOutOfDate(state) || d.front.maxBodyBytes(state) > limit {
		return d.refuseUnavailable(reasonConfigurationOld, staleRetryAfter)
	}
	d.checkedBy, d.checkedAt = state, d.front.now()
	return d.deny(http.StatusRequestEntityTooLarge, "body too large")
}

// endReading ends the reading of the body.
func (d *delivery) endReading() {
	if err := http.NewResponseController(d.writer).SetReadDeadline(time.Now()); err != nil {
		d.front.log.Debug().Str("request_id", d.call.ID).Err(err).Msg("read_deadline_not_set")
	}
}
