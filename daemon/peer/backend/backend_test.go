package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/peer/backend"
)

// peer is a server that answers each request with the raw bytes that a function
// returns. If they end with an exclamation mark, it then closes the connection.
type peer struct {
	listener net.Listener
	accepted atomic.Int64
}

func newPeer(t *testing.T, answer func(id string) string) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p := &peer{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go serve(c, answer)
		}
	}()
	return p
}

func serve(c net.Conn, answer func(id string) string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		raw := answer(r.Header.Get("Id"))
		_, _ = io.WriteString(c, raw)
		if strings.HasSuffix(raw, "!") {
			return
		}
	}
}

// response returns an answer to a request, with additional header lines.
func response(id, body, headerLines string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), headerLines, body)
}

// exchange sends a request and returns the body of its answer, and whether the
// connection was reused.
func exchange(pool *backend.Pool, p *peer, id string) (string, bool, error) {
	c, err := pool.Get(context.Background(), p.listener.Addr().String(), id)
	if err != nil {
		return "", false, err
	}
	_, err = c.Send(&backend.Request{Method: "POST", URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("b")})
	if err != nil {
		c.Close()
		return "", c.Reused(), err
	}
	resp, err := c.Receive("POST", func(_ int, h http.Header) bool { return h.Get("Id") == id })
	if err != nil {
		c.Close()
		return "", c.Reused(), err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Close()
		return string(body), c.Reused(), err
	}
	c.Release(resp)
	return string(body), c.Reused(), nil
}

func TestAConnectionIsReusedForTheNextRequest(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, func(id string) string { return response(id, "for "+id, "") })
	pool := backend.NewPool(backend.Options{})
	for i := range 5 {
		body, reused, err := exchange(pool, p, fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal(fmt.Sprint("for ", i)))
		g.Expect(reused).To(Equal(i > 0))
	}
	g.Expect(pool.DialCount()).To(Equal(int64(1)))
}

// The endpoint answers each request twice. The second answer must not be taken for the
// answer to the next request.
func TestASecondAnswerToARequestIsNotGivenToTheNextRequest(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, func(id string) string { return response(id, "for "+id, "") + response(id, "again "+id, "") })
	pool := backend.NewPool(backend.Options{})
	for i := range 4 {
		body, _, err := exchange(pool, p, fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal(fmt.Sprint("for ", i)))
	}
}

func TestALateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, func(id string) string { return response("earlier", "late", "") + response(id, "own", "") })
	body, _, err := exchange(backend.NewPool(backend.Options{}), p, "r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("own"))
}

func TestAConnectionThatTheEndpointAnnouncesToCloseIsNotReused(t *testing.T) {
	for name, headerLines := range map[string]string{"Connection header": "Connection: close\r\n", "Keep-Alive timeout of zero": "Keep-Alive: timeout=0\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPeer(t, func(id string) string { return response(id, "x", headerLines) })
			pool := backend.NewPool(backend.Options{})
			for range 3 {
				_, reused, err := exchange(pool, p, "r")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(reused).To(BeFalse())
			}
		})
	}
}

func TestAConnectionThatThePeerClosedIsNotReused(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, func(id string) string { return response(id, "x!", "") })
	pool := backend.NewPool(backend.Options{})
	for range 5 {
		_, _, err := exchange(pool, p, "r")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond) // so that the peer's FIN arrives
	}
}

func TestAnAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, func(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nall of it!" })
	pool := backend.NewPool(backend.Options{})
	for range 2 {
		body, reused, err := exchange(pool, p, "r")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("all of it!"))
		g.Expect(reused).To(BeFalse())
	}
}

func TestAMalformedOrTruncatedAnswerIsAnError(t *testing.T) {
	g := NewWithT(t)
	for _, bytes := range []string{"garbage\r\n\r\n!", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 9\r\n\r\ncut!"} {
		p := newPeer(t, func(string) string { return bytes })
		_, _, err := exchange(backend.NewPool(backend.Options{}), p, "r")
		g.Expect(err).To(HaveOccurred())
	}
}

func TestGetFailsWhenNothingListensAtTheAddress(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l.Close()
	_, err = backend.NewPool(backend.Options{}).Get(context.Background(), l.Addr().String(), "r")
	g.Expect(err).To(HaveOccurred())
}

func TestRetainClosesUnusedConnectionsToOtherAddresses(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, func(id string) string { return response(id, "x", "") })
	pool := backend.NewPool(backend.Options{})
	for range 2 {
		_, _, err := exchange(pool, p, "r")
		g.Expect(err).NotTo(HaveOccurred())
		pool.Retain(func(string) bool { return false })
	}
	g.Expect(pool.DialCount()).To(Equal(int64(2)))
}

func TestHasEndedTellsABrokenConnectionFromAnEndedPeer(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, func(id string) string { return response(id, "x", "") })
	pool := backend.NewPool(backend.Options{})
	address := p.listener.Addr().String()
	g.Expect(pool.HasEnded(context.Background(), address)).To(BeFalse())
	g.Expect(pool.HasEnded(context.Background(), address)).To(BeFalse())
	g.Expect(pool.DialCount()).To(Equal(int64(1)), "the connection is kept")
	p.listener.Close()
	g.Expect(pool.HasEnded(context.Background(), address)).To(BeFalse(), "the unused connection is still open")
	pool.Retain(func(string) bool { return false })
	g.Expect(pool.HasEnded(context.Background(), address)).To(BeTrue())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(pool.HasEnded(ctx, address)).To(BeFalse(), "not known")
}

// An endpoint may send bytes that are no answer, without an end. They must take neither time
// nor memory without bound.
func TestHeadWithoutEndIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"interim answers": "HTTP/1.1 100 Continue\r\n\r\n",
		"header lines":    "X-Line: value\r\n",
		"one header line": "x",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPeer(t, func(string) string { return "" })
			sent := make(chan int, 1)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			p.listener = l
			t.Cleanup(func() { l.Close() })
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				n := 0
				if name != "interim answers" {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Line: ")
				}
				for n < 64<<20 {
					written, err := io.WriteString(c, strings.Repeat(text, 100))
					n += written
					if err != nil {
						break
					}
				}
				sent <- n
			}()
			pool := backend.NewPool(backend.Options{})
			done := make(chan error, 1)
			go func() {
				_, _, err := exchange(pool, p, "1")
				done <- err
			}()
			g.Eventually(done, 5*time.Second).Should(Receive(HaveOccurred()))
			g.Eventually(sent, 5*time.Second).Should(Receive(BeNumerically("<", 16<<20)), "the connection is closed")
		})
	}
}

func TestSomeInterimAnswersAreSkipped(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, func(id string) string {
		return strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 5) + response(id, "body", "")
	})
	body, _, err := exchange(backend.NewPool(backend.Options{}), p, "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("body"))
}

// Guards against heads of many short lines, which take far more memory than bytes.
func TestHeadOfTooManyLinesIsAnError(t *testing.T) {
	g := NewWithT(t)
	for lines, accepted := range map[int]bool{400: true, 8000: false} {
		p := newPeer(t, func(id string) string {
			var b strings.Builder
			for i := range lines {
				fmt.Fprintf(&b, "%d:\r\n", i)
			}
			return response(id, strings.Repeat("\n", 20_000), b.String())
		})
		body, _, err := exchange(backend.NewPool(backend.Options{}), p, "1")
		if accepted {
			g.Expect(err).NotTo(HaveOccurred(), "the lines of a body do not count")
			g.Expect(body).To(HaveLen(20_000))
		} else {
			g.Expect(err).To(MatchError(ContainSubstring("too long")))
		}
	}
}
