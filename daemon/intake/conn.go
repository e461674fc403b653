package intake

import (
	"bytes"
	"io"
	"net"
	"time"
)

const (
	// writePieceBytes is the part of an answer that a client must read within the write timeout.
	writePieceBytes = 16 << 10
	// refusalTimeout limits the time to write a refusal outside of a request, and to read what the
	// client still sends: a connection that is closed with unread bytes is reset, and the client
	// might not get the refusal.
	refusalTimeout = 200 * time.Millisecond
	// maxDiscardedBytes bounds what is read and discarded after a refusal.
	maxDiscardedBytes = 256 << 10
)

// phase is the part of a request that a connection is in.
type phase int

const (
	phaseIdle phase = iota // no request has begun
	phaseHead              // a head has begun
	phaseBody              // the head is complete, the body is not
	phaseRun               // the request is complete, or those of HTTP/2 are in progress
)

func (p phase) String() string {
	return [...]string{"idle", "head", "body", "run"}[p]
}

// prefaceStart begins a connection of HTTP/2.
var prefaceStart = []byte("PRI * HTTP/2")

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener

	// Guarded by the mutex of listener.
	phase  phase
	since  time.Time // when the phase began
	moved  time.Time // when bytes were last read or written
	held   int64
	cut    bool
	shared bool // HTTP/2
	// refused is set once an answer is written outside of a request, after which the connection closes.
	refused bool
	// reading and writing are when the call in progress began; zero = there is none.
	reading, writing            time.Time
	readDeadline, writeDeadline time.Time // as set by the server
	bodyBytes                   int64

	// Used by the reading goroutine, or while it does not read.
	headBytes, fields int
	inLine            bool // the last byte read belongs to a line that is not empty
	headEnded         bool
	begun             bool // bytes were read
	readSinceIdle     bool // bytes were read since the last request ended; guarded by the mutex
}

// awaited tells whether the client has to send something before its request can run.
func (c *Conn) awaited() bool {
	return c.phase != phaseRun
}

// waitingSince returns since when the client was awaited without moving a byte; zero = it is not
// awaited.
func (c *Conn) waitingSince() time.Time {
	begin := c.writing
	if begin.IsZero() && c.awaited() {
		begin = c.reading
	}
	if !begin.IsZero() && c.moved.After(begin) {
		return c.moved
	}
	return begin
}

// rank returns how early the connection is cut; false = it must not be.
func (c *Conn) rank(now time.Time) (rank, bool) {
	if c.refused {
		return rank{still: true, weight: weigh(c.held, now.Sub(c.since))}, true
	}
	since := c.waitingSince()
	if since.IsZero() {
		return rank{}, false
	}
	r := rank{still: now.Sub(since) >= stillTime, weight: weigh(c.held, now.Sub(c.since)), shared: c.shared}
	// An answer that is being written is cut only if its client reads nothing.
	return r, r.still || c.writing.IsZero()
}

// enter begins a phase. The caller holds the mutex.
func (c *Conn) enter(p phase) {
	c.phase, c.since = p, time.Now()
	c.moved = c.since
}

// earliest returns the earlier of two deadlines; zero = none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// readLimit returns until when the client must send the next byte; zero = without limit.
func (c *Conn) readLimit(now time.Time) time.Time {
	limits := &c.listener.limits
	switch {
	case c.shared || c.phase == phaseRun:
		return time.Time{}
	case c.phase == phaseIdle:
		return c.since.Add(limits.IdleTimeout())
	case c.phase == phaseHead:
		return c.since.Add(limits.HeadTimeout())
	}
	return earliest(now.Add(limits.StallTimeout), c.since.Add(limits.BodyTimeout))
}

// Read implements net.Conn. It charges the bytes to the room of the listener.
func (c *Conn) Read(p []byte) (int, error) {
	l := c.listener
	l.mu.Lock()
	if c.cut {
		l.mu.Unlock()
		return 0, ErrCut
	}
	c.reading = time.Now()
	err := c.Conn.SetReadDeadline(earliest(c.readDeadline, c.readLimit(c.reading)))
	l.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	refusal, failure := c.endRead(p[:n])
	switch {
	case failure != nil:
		if refusal != "" {
			c.refuse(refusal)
		}
		return 0, failure
	case err != nil:
		return n, err
	}
	return n, nil
}

// endRead takes account of bytes that were read. It returns an error if the connection may read no
// more, and the answer to be written before, if any.
func (c *Conn) endRead(p []byte) (refusal string, err error) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c.reading = time.Time{}
	if c.cut {
		return "", ErrCut
	}
	if len(p) == 0 {
		return "", nil
	}
	c.moved = now
	c.readSinceIdle = true
	if !c.begun {
		c.begun = true
		c.shared = bytes.HasPrefix(p, prefaceStart)
	}
	if c.phase == phaseIdle {
		c.enter(phaseHead)
		c.headBytes, c.fields, c.headEnded = 0, 0, false
	}
	switch {
	case c.shared:
	case c.phase == phaseHead:
		return c.readHead(p, now)
	case c.phase == phaseBody:
		c.trackLine(p)
		counted := min(int64(len(p)), max(smallBodyBytes-c.bodyBytes, 0))
		c.bodyBytes += counted
		if !c.grow(now, counted) {
			return "", ErrNoRoom
		}
	default:
		c.trackLine(p)
	}
	return "", nil
}

// readHead counts bytes and fields of a head.
func (c *Conn) readHead(p []byte, now time.Time) (refusal string, err error) {
	bytesBefore, fieldsBefore := c.headBytes, c.fields
	for len(p) > 0 && !c.headEnded {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			c.headBytes += len(p)
			break
		}
		c.trackLine(p[:end])
		if !c.inLine && c.headBytes > 0 {
			c.headEnded = true
		}
		c.headBytes += end + 1
		c.fields++
		c.inLine = false
		p = p[end+1:]
	}
	c.trackLine(p)
	if c.headBytes > c.listener.limits.HeadBytes() {
		c.listener.record(c, now, ReasonHead)
		c.refused = true
		return headTooLarge, io.EOF
	}
	if !c.grow(now, headCost(c.headBytes, c.fields)-headCost(bytesBefore, fieldsBefore)) {
		c.refused = true
		return noRoom, io.EOF
	}
	return "", nil
}

// trackLine keeps whether the last line that was read is empty. It is called for all bytes, since
// the buffer of the server may hold the beginning of a head that was read in an earlier phase.
func (c *Conn) trackLine(p []byte) {
	if end := bytes.LastIndexByte(p, '\n'); end >= 0 {
		c.inLine = false
		p = p[end+1:]
	}
	c.inLine = c.inLine || len(bytes.Trim(p, "\r")) > 0
}

// headCost returns what a head takes in memory.
func headCost(size, fields int) int64 {
	return headCopies*int64(size) + fieldBytes*int64(fields)
}

// grow charges n bytes more. It returns false if there is no room, or the connection was closed. The
// caller holds the mutex.
func (c *Conn) grow(now time.Time, n int64) bool {
	l := c.listener
	if _, open := l.open[c]; !open {
		return false
	}
	if n > 0 && !l.makeRoom(now, c, n) {
		l.record(c, now, ReasonMemory)
		return false
	}
	c.held += n
	l.held += n
	return true
}

// Write implements net.Conn. The client must read each piece within the write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	total := 0
	for {
		piece := p[total:min(total+writePieceBytes, len(p))]
		n, err := c.writePiece(piece)
		total += n
		if err != nil || total >= len(p) {
			return total, err
		}
	}
}

func (c *Conn) writePiece(p []byte) (int, error) {
	l := c.listener
	l.mu.Lock()
	if c.cut {
		l.mu.Unlock()
		return 0, ErrCut
	}
	c.writing = time.Now()
	err := c.Conn.SetWriteDeadline(earliest(c.writeDeadline, c.writing.Add(l.limits.WriteTimeout)))
	l.mu.Unlock()
	n := 0
	if err == nil {
		n, err = c.Conn.Write(p)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.writing = time.Time{}
	if n > 0 {
		c.moved = time.Now()
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The limits of the listener apply as well.
func (c *Conn) SetReadDeadline(t time.Time) error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readDeadline = t
	if !c.reading.IsZero() {
		t = earliest(t, c.readLimit(c.reading))
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. The write timeout of the listener applies as well.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.writeDeadline = t
	if !c.writing.IsZero() {
		t = earliest(t, c.writing.Add(l.limits.WriteTimeout))
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite lets the HTTP server end its side of the connection before it closes it.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// refuse writes an answer outside of a request, while no other is written. What is read on after it
// takes time, so that is left out where room is short.
func (c *Conn) refuse(answer string) {
	if err := c.Conn.SetDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, answer); err != nil || answer == noRoom || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes) // until the client closes, or the deadline
}

// refuseAtOnce answers a connection that is not taken up, without waiting, and closes it.
func refuseAtOnce(conn net.Conn) {
	// A few hundred bytes always fit into the empty send buffer.
	if err := conn.SetWriteDeadline(time.Now().Add(refusalTimeout)); err == nil {
		_, _ = io.WriteString(conn, noRoom)
	}
	_ = conn.Close()
}
