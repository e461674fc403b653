package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// discardTimeout limits the time to read the rest of a body after the answer to its request.
const discardTimeout = 2 * time.Second

// retryAfter is the Retry-After of a refusal for want of room, in seconds.
const retryAfter = "0.5"

const (
	noRoomBody       = `{"title":"Service Unavailable","status":503,"outcome":"not_run","detail":"no room for the connection's requests"}`
	headTooLargeBody = `{"title":"Request Header Fields Too Large","status":431,"outcome":"not_run","detail":"head too large"}`
)

// Answers that are written outside of a request.
var (
	noRoom       = refusal(http.StatusServiceUnavailable, noRoomBody)
	headTooLarge = refusal(http.StatusRequestHeaderFieldsTooLarge, headTooLargeBody)
)

func refusal(status int, body string) string {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Type: application/problem+json\r\nConnection: close\r\n"
	if status == http.StatusServiceUnavailable {
		head += "Retry-After: " + retryAfter + "\r\n"
	}
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

type connKey struct{}

// Configure has a server tell the connections of the listener which phase they are in. The server's
// own timeouts for heads and idle connections must not be set, but for HTTP/2.
func (l *Listener) Configure(s *http.Server) {
	s.Handler = l.handler(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*Conn)
		if !ok {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		switch state {
		case http.StateActive:
			// A request that was whole in the server's buffer before the last one ended was pipelined.
			// The handler has not been called for it yet.
			if now := time.Now(); !c.readSinceIdle && !c.shared && !c.cut && now.Before(l.crowdedUntil) {
				l.cutConn(c, now, ReasonConnections)
			}
			c.enter(phaseRun)
		case http.StateIdle:
			c.readSinceIdle = false
			c.enter(phaseIdle)
			c.hold(ConnectionBytes)
			c.writeDeadline = time.Time{} // was of the answer before
		}
	}
}

// hold sets what an open connection holds to less. The caller holds the mutex.
func (c *Conn) hold(n int64) {
	if _, open := c.listener.open[c]; open && n < c.held {
		c.listener.held -= c.held - n
		c.held = n
	}
}

// handler charges the heads of requests, and reads their bodies within the limits.
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if ok && r.ProtoMajor != 1 {
			c.share()
		}
		if !ok || r.ProtoMajor != 1 {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		if !c.beginRequest(r, hasBody) {
			w.Header().Set("Content-Type", "application/problem+json")
			w.Header().Set("Retry-After", retryAfter)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, noRoomBody) // the connection closes in any case
			return
		}
		if hasBody {
			r.Body = &body{ReadCloser: r.Body, conn: c}
		}
		defer c.endRequest()
		next.ServeHTTP(w, r)
	})
}

// beginRequest charges the head of a request. It returns false if there is no room for it. A head
// that the server had in its buffer has not been charged before.
func (c *Conn) beginRequest(r *http.Request, hasBody bool) bool {
	size, fields := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			fields++
		}
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.cut {
		return false
	}
	c.bodyBytes = 0
	if hasBody {
		c.enter(phaseBody)
	}
	cost := ConnectionBytes + headCost(size, fields)
	if cost <= c.held {
		c.hold(cost)
		return true
	}
	return c.grow(time.Now(), cost-c.held)
}

// share notes that requests of HTTP/2 share the connection.
func (c *Conn) share() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.shared = true
}

// endRequest bounds the time for the rest of a body that the handler did not read.
func (c *Conn) endRequest() {
	c.listener.mu.Lock()
	unread := c.phase == phaseBody
	c.listener.mu.Unlock()
	if unread {
		_ = c.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only on a closed connection
	}
}

// body reads the body of a request and notes its end.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader. It returns ErrCut at the end of the body if the connection was cut
// before, so that no request runs whose connection was closed as not awaited.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	l := b.conn.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.conn.cut {
		return n, ErrCut
	}
	if b.conn.phase == phaseBody {
		b.conn.enter(phaseRun)
	}
	return n, err
}
