// Package intake bounds what clients that are not under control can take of a process: its
// connections (descriptors), the memory of unfinished heads and small bodies, and the time for
// which a client may send or read nothing.
//
// It answers this load: hundreds to thousands of connections that send heads of very many short
// fields, bodies that stop short of their end or come byte by byte, pipelined requests whose answers
// are not read, or nothing. A field of a few bytes takes some hundred bytes once it is parsed, so
// that a limit of the bytes of a head alone does not bound its memory.
//
// A Listener wraps a net.Listener; its connections know from the HTTP server which phase of a
// request they are in, and charge what they read to the room of the listener. When the room or the
// connections are spent, one connection is cut: first those that hold still, among them, and
// otherwise among those whose client is awaited, the one with the most bytes held times the time
// since its phase began. A connection whose request is complete is never cut unless its client does
// not read the answer; a request that finds no room then is refused as not run. Sizes are in bytes.
package intake

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// ConnectionBytes is what an idle connection takes: 29 KB were measured, with its goroutine and
	// the buffers of net/http.
	ConnectionBytes = 32 << 10
	// fieldBytes is what a field of a head takes beside its text. 110 bytes were measured for a
	// field of five bytes; callers' headers are copied once.
	fieldBytes = 256
	// headCopies is how many copies of the bytes of a head there are.
	headCopies = 2
	// smallBodyBytes is the part of a body that counts. What is longer is bounded elsewhere.
	smallBodyBytes = 16 << 10
	// stillTime is how long a client must have sent or read nothing to count as still.
	stillTime = time.Second
	// reportInterval is the least time between two reports of a listener.
	reportInterval = time.Second
	// crowdedTime is how long after connections ran out those that pipeline requests are cut.
	crowdedTime = time.Second
	// admitWait is how long a connection for which there is no room waits for one, in steps of
	// admitStep. It is short, since others wait behind it to be accepted.
	admitWait = 20 * time.Millisecond
	admitStep = 2 * time.Millisecond
)

// ErrCut is the error of reads and writes of a connection that was cut, and ErrNoRoom of a read of
// a body for which there is no room. In both cases the body is not complete.
var (
	ErrCut    = errors.New("connection cut: its room or descriptor was needed")
	ErrNoRoom = errors.New("no room for the connection's requests")
)

// Limits of one listener. Functions are called for each wait, so that limits may change.
type Limits struct {
	// Name of the listener in logs and metrics.
	Name string
	// MaxConnections bounds the open connections.
	MaxConnections int
	// MaxBytes bounds what all connections hold.
	MaxBytes int64
	// HeadBytes bounds the bytes of one head, the request line included.
	HeadBytes func() int
	// HeadTimeout limits the time from the first byte of a head to its last one, and IdleTimeout the
	// time without a request.
	HeadTimeout, IdleTimeout func() time.Duration
	// StallTimeout limits the time without a byte of a body, BodyTimeout the time of a whole body.
	StallTimeout, BodyTimeout time.Duration
	// WriteTimeout limits the time in which a client reads writePieceBytes of an answer.
	WriteTimeout time.Duration
	// Report is called for what was cut, at most once each reportInterval.
	Report func(Report)
	// Count is called for each connection that is cut or refused.
	Count func(Reason)
}

// Reason says why a connection was cut or refused.
type Reason string

// Reasons.
const (
	// ReasonConnections means that all connections of the listener were in use.
	ReasonConnections Reason = "connections"
	// ReasonMemory means that the memory for the clients of the listener was in use.
	ReasonMemory Reason = "memory"
	// ReasonHead means that a head was longer than HeadBytes.
	ReasonHead Reason = "head"
)

// Report says what was cut since the last one.
type Report struct {
	Listener    string
	Counts      map[Reason]int
	Connections int   // open now
	Held        int64 // now
	// Last describes the last connection that was cut or refused.
	Last Cut
}

// Cut describes a connection that was cut or refused, and the inputs of that decision.
type Cut struct {
	Remote     string
	Reason     Reason
	Phase      string
	Held       int64
	InPhase    time.Duration
	StillSince time.Duration // how long it had sent or read nothing; 0 = it was not awaited
}

// Status is the state of a listener.
type Status struct {
	Listener       string           `json:"listener"`
	Connections    int              `json:"connections"`
	MaxConnections int              `json:"max_connections"`
	Held           int64            `json:"held_bytes"`
	MaxBytes       int64            `json:"max_bytes"`
	Phases         map[string]int   `json:"phases,omitempty"`
	Cut            map[Reason]int64 `json:"cut,omitempty"`
}

// Listener accepts connections within limits.
type Listener struct {
	net.Listener
	limits Limits

	mu   sync.Mutex
	open map[*Conn]struct{}
	held int64
	// crowdedUntil is until when connections that pipeline requests are cut.
	crowdedUntil time.Time
	totals       map[Reason]int64
	pending      map[Reason]int // since the last report
	last         Cut
}

// NewListener returns a listener whose connections keep to limits.
func NewListener(inner net.Listener, limits Limits) *Listener {
	return &Listener{Listener: inner, limits: limits, open: map[*Conn]struct{}{}, totals: map[Reason]int64{}, pending: map[Reason]int{}}
}

// Accept implements net.Listener. A connection for which there is no room is answered 503 and closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		begin := time.Now()
		for {
			last := time.Since(begin) >= admitWait
			if c := l.admit(inner, last); c != nil {
				return c, nil
			}
			if last {
				break
			}
			time.Sleep(admitStep)
		}
		refuseAtOnce(inner)
	}
}

// admit takes up a connection, for which it may cut another one; nil = there is no room. If last is
// set, it is then counted as refused.
func (l *Listener) admit(inner net.Conn, last bool) *Conn {
	now := time.Now()
	c := &Conn{Conn: inner, listener: l, since: now, moved: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.open) >= l.limits.MaxConnections {
		l.crowdedUntil = now.Add(crowdedTime)
		if !l.cutOne(now, nil, 0, ReasonConnections) {
			if last {
				l.record(c, now, ReasonConnections)
			}
			return nil
		}
	}
	if !l.makeRoom(now, nil, ConnectionBytes) {
		l.crowdedUntil = now.Add(crowdedTime)
		if last {
			l.record(c, now, ReasonMemory)
		}
		return nil
	}
	l.open[c] = struct{}{}
	c.held = ConnectionBytes
	l.held += ConnectionBytes
	return c
}

// makeRoom cuts connections until there is room for n bytes more. It returns false if there is no
// connection to cut, or only asking, for which the room is.
func (l *Listener) makeRoom(now time.Time, asking *Conn, n int64) bool {
	for l.held+n > l.limits.MaxBytes {
		if !l.cutOne(now, asking, n, ReasonMemory) {
			return false
		}
	}
	return true
}

// cutOne cuts the connection that comes first. It returns false if there is none, or if that is the
// one that asks for n bytes more.
func (l *Listener) cutOne(now time.Time, asking *Conn, n int64, reason Reason) bool {
	var first *Conn
	var best rank
	for c := range l.open {
		r, ok := c.rank(now)
		if c == asking {
			r, ok = rank{weight: weigh(c.held+n, now.Sub(c.since))}, c.awaited()
		}
		if ok && (first == nil || best.before(r)) {
			first, best = c, r
		}
	}
	if first == nil || first == asking {
		return false
	}
	l.cutConn(first, now, reason)
	return true
}

// cutConn closes a connection; its goroutine notices.
func (l *Listener) cutConn(c *Conn, now time.Time, reason Reason) {
	l.record(c, now, reason)
	l.remove(c)
	c.cut = true
	_ = c.Conn.Close()
}

// rank says how early a connection is cut: the greatest first.
type rank struct {
	still  bool
	weight float64 // byte-seconds
	shared bool    // of HTTP/2, whose requests come on one connection: after all others
}

func (r rank) before(other rank) bool {
	switch {
	case r.shared != other.shared:
		return r.shared
	case r.still != other.still:
		return other.still
	}
	return other.weight > r.weight
}

// weigh returns bytes times time. The time of a connection that has just begun counts as a
// millisecond, so that what it holds decides among these.
func weigh(held int64, age time.Duration) float64 {
	return float64(held) * max(age, time.Millisecond).Seconds()
}

// record counts a connection that is cut or refused, and reports it soon.
func (l *Listener) record(c *Conn, now time.Time, reason Reason) {
	l.last = Cut{Remote: c.RemoteAddr().String(), Reason: reason, Phase: c.phase.String(), Held: c.held, InPhase: now.Sub(c.since)}
	if since := c.waitingSince(); !since.IsZero() {
		l.last.StillSince = now.Sub(since)
	}
	l.totals[reason]++
	if l.limits.Count != nil {
		l.limits.Count(reason)
	}
	if len(l.pending) == 0 && l.limits.Report != nil {
		time.AfterFunc(reportInterval, l.report)
	}
	l.pending[reason]++
}

func (l *Listener) report() {
	l.mu.Lock()
	r := Report{Listener: l.limits.Name, Counts: l.pending, Connections: len(l.open), Held: l.held, Last: l.last}
	l.pending = map[Reason]int{}
	l.mu.Unlock()
	l.limits.Report(r)
}

// remove gives back what a connection holds.
func (l *Listener) remove(c *Conn) {
	if _, ok := l.open[c]; !ok {
		return
	}
	delete(l.open, c)
	l.held -= c.held
	c.held = 0
}

// Status returns the state of the listener.
func (l *Listener) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{
		Listener: l.limits.Name, Connections: len(l.open), MaxConnections: l.limits.MaxConnections, Held: l.held, MaxBytes: l.limits.MaxBytes,
		Phases: map[string]int{}, Cut: map[Reason]int64{},
	}
	for c := range l.open {
		s.Phases[c.phase.String()]++
	}
	for reason, n := range l.totals {
		s.Cut[reason] = n
	}
	return s
}
