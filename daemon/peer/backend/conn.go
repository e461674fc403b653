package backend

import (
	"bufio"
	"bytes"
	"io"
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
	// maxInlineWriteBytes is the largest request that is written before the answer is read. A
	// longer one is written beside, since an endpoint may answer before it has read all.
	maxInlineWriteBytes = 16 << 10
	// idleTimeoutFraction is the part of an endpoint's stated idle time in which a connection is used again.
	idleTimeoutFraction = 0.7
	// maxSkippedAnswers bounds the answers to other requests that are skipped on one connection.
	maxSkippedAnswers = 3
	// maxSkippedBodyBytes bounds the body of an answer that is skipped.
	maxSkippedBodyBytes = 4 << 20
)

// Conn is one connection to an endpoint. It carries one request at a time and is
// used by one goroutine; Close may be called from any.
type Conn struct {
	pool          *Pool
	address       string
	netConn       net.Conn
	reader        *bufio.Reader
	reusableUntil time.Time
	reused        bool
	notReusable   bool
	writeResult   chan error
}

func newConn(p *Pool, address string, raw net.Conn) *Conn {
	return &Conn{pool: p, address: address, netConn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

// Reused tells whether the connection carried a request before.
func (c *Conn) Reused() bool {
	return c.reused
}

// Close ends the connection.
func (c *Conn) Close() {
	// The connection is given up, whatever closing it says.
	_ = c.netConn.Close()
}

// isIdle tells whether the peer has neither closed the connection nor sent anything on it.
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failed == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Request is what is sent.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// HasBody tells that a body is sent even if it is empty.
	HasBody bool
}

// encode renders the request.
func (r *Request) encode() ([]byte, error) {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return nil, errors.Wrap(err, "header")
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes(), nil
}

// Send writes a request. Sent false means that no byte of it left; after an error with
// sent true it may have been received in part or whole.
func (c *Conn) Send(r *Request) (sent bool, err error) {
	data, err := r.encode()
	if err != nil {
		return false, err
	}
	if len(data) > maxInlineWriteBytes {
		c.writeResult = make(chan error, 1)
		go func() {
			_, err := c.netConn.Write(data)
			c.writeResult <- err
		}()
		return true, nil
	}
	c.writeResult = nil
	n, err := c.netConn.Write(data)
	return n > 0, errors.Wrap(err, "send")
}

// Receive reads the head of the answer to a request. Answers that isOwn rejects
// belong to earlier requests; they are skipped, and the connection is not used again.
func (c *Conn) Receive(method string, isOwn func(status int, h http.Header) bool) (*http.Response, error) {
	asked := &http.Request{Method: method}
	for foreign := 0; ; {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, errors.Wrap(err, "answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if isOwn(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		c.notReusable = true
		foreign++
		if foreign > maxSkippedAnswers || IsCloseDelimited(resp) {
			return nil, errors.New("answer: belongs to another request")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes))
		if err != nil || n == maxSkippedBodyBytes {
			return nil, errors.New("answer: another request's could not be skipped")
		}
	}
}

// IsCloseDelimited tells whether an answer's body has no length and ends with its connection.
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Release keeps the connection after an answer that was read whole, where it may
// carry another request. Else it is closed.
func (c *Conn) Release(resp *http.Response) {
	sent := true
	if c.writeResult != nil {
		select {
		case err := <-c.writeResult:
			sent = err == nil
		default:
			sent = false
		}
	}
	if !sent || c.notReusable || resp.Close || IsCloseDelimited(resp) || c.reader.Buffered() > 0 || !resp.ProtoAtLeast(1, 1) {
		c.Close()
		return
	}
	c.reusableUntil = time.Now().Add(c.idleTimeout(resp.Header))
	c.pool.putIdle(c)
}

// idleTimeout is how long the connection may be unused.
func (c *Conn) idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(idleTimeoutFraction * seconds * float64(time.Second))
		}
	}
	return c.pool.options.IdleTimeout
}
