package backend

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 8 << 10
	// maxInlineWriteBytes is the largest request that is written before the answer is
	// read. A larger one is written by another goroutine, because an endpoint may answer
	// before it has read the whole request.
	maxInlineWriteBytes = 16 << 10
	// idleTimeoutFraction is the fraction of the idle timeout stated by an endpoint during
	// which a connection is reused. The rest is a margin before the endpoint closes it.
	idleTimeoutFraction = 0.7
	// maxSkippedAnswers bounds the answers to other requests that are skipped before the
	// answer to a request.
	maxSkippedAnswers = 3
	// maxInterimAnswers bounds the answers with a status below 200 before the answer to a request.
	maxInterimAnswers = 16
	// maxStatus is the largest status of HTTP.
	maxStatus = 599
	// maxHeadBytes bounds the status line and header of an answer.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds their lines, each of which takes far more memory than a short one has bytes.
	maxHeadLines = 512
	// maxSkippedBodyBytes bounds the body of each skipped answer.
	maxSkippedBodyBytes = 4 << 20
	// maxAnsweredErrors bounds the requests that a connection remembers, see MarkFailed. It is not
	// reused once it has that many.
	maxAnsweredErrors = 64
)

// Conn is a connection to an endpoint. It carries one request at a time. Only Close may
// be called concurrently with other methods.
type Conn struct {
	pool          *Pool
	address       string
	netConn       net.Conn
	limit         *readLimit // of netConn
	reader        *bufio.Reader
	reusableUntil time.Time // end of the idle time, while the connection is unused
	reused        bool
	notReusable   bool // an answer to another request arrived
	identified    bool
	incarnation   int64               // that the endpoint states of itself, if identified
	failed        map[string]struct{} // see MarkFailed
	// writeResult receives the result of writing a request in another goroutine; nil if
	// the request was written directly.
	writeResult chan error
}

func newConn(p *Pool, address string, netConn net.Conn) *Conn {
	limit := &readLimit{reader: netConn, left: unlimited, lines: unlimited}
	return &Conn{pool: p, address: address, netConn: netConn, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}
}

// unlimited is a number of bytes that is never read.
const unlimited = math.MaxInt64

var newline = []byte("\n")

var errHeadTooLong = errors.New("status line and header are too long")

// readLimit ends reading with errHeadTooLong after a number of bytes or lines.
type readLimit struct {
	reader io.Reader
	left   int64
	lines  int64
	// exceeded is set once reading was ended. The parser may report what it had read as malformed.
	exceeded bool
}

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if l.left <= 0 || l.lines <= 0 {
		l.exceeded = true
		return 0, errHeadTooLong
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if l.lines != unlimited {
		// What was read beyond the head counts too, but then nothing more is read for it.
		l.lines -= int64(bytes.Count(p[:n], newline))
	}
	return n, err
}

// Reused reports whether the connection has carried an earlier request.
func (c *Conn) Reused() bool {
	return c.reused
}

// Address returns the address of the endpoint.
func (c *Conn) Address() string {
	return c.address
}

// SetIncarnation records which incarnation of the endpoint has the connection. It holds until the
// connection is closed, since a connection does not outlive the process that accepted it.
func (c *Conn) SetIncarnation(incarnation int64) {
	c.identified, c.incarnation = true, incarnation
}

// Incarnation returns what SetIncarnation recorded; false = nothing.
func (c *Conn) Incarnation() (int64, bool) {
	return c.incarnation, c.identified
}

// MarkFailed records that the endpoint answered the request with an ID with an error. An endpoint
// may write that answer once more later, and if the request came again on this connection, nothing
// would tell the copy from the new answer. So the connection is not used for it again.
func (c *Conn) MarkFailed(id string) {
	if c.failed == nil {
		c.failed = map[string]struct{}{}
	}
	c.failed[id] = struct{}{}
}

// hasFailed reports whether MarkFailed was called for a request.
func (c *Conn) hasFailed(id string) bool {
	_, failed := c.failed[id]
	return failed
}

// Close closes the connection.
func (c *Conn) Close() {
	// The connection is not used again, so an error of Close has no consequence.
	_ = c.netConn.Close()
}

// isIdle reports whether the peer has neither closed the connection nor sent data that
// has not been read.
func (c *Conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

// tcpClosed is the state of a TCP connection that was reset (TCP_CLOSE of the kernel).
const tcpClosed = 7

// WasReset reports whether the peer reset the connection. After its end has been read, that cannot be
// told from the error alone: a write that fails because of the reset, in another goroutine, takes the
// error, and a read reports an orderly end afterwards.
func (c *Conn) WasReset() bool {
	socket, ok := c.netConn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClosed
	})
	return err == nil && reset
}

// Request is a request to an endpoint.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// HasBody is set if the request has a body, which may be empty.
	HasBody bool
}

// encode returns the request as it is sent, with its body unless that is large.
func (r *Request) encode() ([]byte, error) {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxInlineWriteBytes))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return nil, errors.Wrap(err, "header")
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxInlineWriteBytes {
		b.Write(r.Body)
	}
	return b.Bytes(), nil
}

// Send writes a request. If sent is false, no byte of it was sent. After an error with
// sent true, the endpoint may have received all or a part of it. A request of more than
// maxInlineWriteBytes is written in the background, and Send reports no error for it.
func (c *Conn) Send(r *Request) (sent bool, err error) {
	data, err := r.encode()
	if err != nil {
		return false, err
	}
	parts := net.Buffers{data}
	if len(r.Body) > maxInlineWriteBytes {
		parts = append(parts, r.Body)
	}
	if len(parts) > 1 || len(data) > maxInlineWriteBytes {
		written := make(chan error, 1)
		c.writeResult = written
		go func() {
			_, err := parts.WriteTo(c.netConn)
			written <- err
		}()
		return true, nil
	}
	c.writeResult = nil
	n, err := c.netConn.Write(data)
	return n > 0, errors.Wrap(err, "send")
}

// Receive reads the status and header of the answer to a request. An answer that isOwn
// rejects belongs to another request. It is skipped, and the connection is not reused.
func (c *Conn) Receive(method string, isOwn func(status int, h http.Header) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for skipped, interim := 0, 0; ; {
		c.limit.left, c.limit.lines = maxHeadBytes, maxHeadLines
		resp, err := http.ReadResponse(c.reader, request)
		c.limit.left, c.limit.lines = unlimited, unlimited
		if c.limit.exceeded {
			return nil, errors.Wrap(errHeadTooLong, "answer")
		}
		if err != nil {
			return nil, errors.Wrap(err, "answer")
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
			return nil, errors.Errorf("answer: %d is no HTTP status", resp.StatusCode)
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimAnswers {
				return nil, errors.New("answer: too many interim answers before it")
			}
			continue
		}
		if isOwn(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		c.notReusable = true
		skipped++
		if skipped > maxSkippedAnswers || IsCloseDelimited(resp) {
			return nil, errors.New("answer: belongs to another request")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes))
		if err != nil || n == maxSkippedBodyBytes {
			return nil, errors.New("answer: could not skip the answer to another request")
		}
	}
}

// IsCloseDelimited reports whether the body of an answer has neither a length nor a
// transfer encoding, so that only the end of the connection marks its end.
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Release returns the connection to the pool after the whole answer was read. It closes
// the connection instead if another request must not be sent on it.
func (c *Conn) Release(resp *http.Response) {
	if !c.reusable(resp) {
		c.Close()
		return
	}
	c.reusableUntil = time.Now().Add(c.idleTimeout(resp.Header))
	c.pool.putIdle(c)
}

// Keep prepares the connection for another request of the same user, after the whole answer was
// read. It returns false, and closes the connection, if another request must not be sent on it.
func (c *Conn) Keep(resp *http.Response) bool {
	if !c.reusable(resp) {
		c.Close()
		return false
	}
	c.writeResult = nil
	c.reusableUntil = time.Now().Add(c.idleTimeout(resp.Header))
	return true
}

func (c *Conn) reusable(resp *http.Response) bool {
	sent := true
	if c.writeResult != nil {
		select {
		case err := <-c.writeResult:
			sent = err == nil
		default:
			sent = false
		}
	}
	return sent && !c.notReusable && len(c.failed) < maxAnsweredErrors && !resp.Close && !IsCloseDelimited(resp) && c.reader.Buffered() == 0 && resp.ProtoAtLeast(1, 1)
}

// idleTimeout returns how long the connection may stay unused: a fraction of the timeout
// in the answer's Keep-Alive header, or else the pool's IdleTimeout.
func (c *Conn) idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(idleTimeoutFraction * seconds * float64(time.Second))
		}
	}
	return c.pool.options.IdleTimeout
}
