package intake_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/intake"
)

const (
	waitLimit    = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// testServer is an HTTP server behind a Listener.
type testServer struct {
	g        *WithT
	listener *intake.Listener
	hold     chan struct{} // requests to /hold run until it is closed
	bodies   chan error    // how the reading of each body ended
}

// startServer starts a server with wide limits, which change may narrow.
func startServer(t *testing.T, change func(*intake.Limits)) *testServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	s := &testServer{g: NewWithT(t), hold: make(chan struct{}), bodies: make(chan error, 100)}
	s.g.Expect(err).NotTo(HaveOccurred())
	limits := intake.Limits{
		Name: "test", MaxConnections: 100, MaxBytes: 10 << 20, HeadBytes: func() int { return 16 << 10 },
		HeadTimeout: func() time.Duration { return waitLimit }, IdleTimeout: func() time.Duration { return waitLimit },
		StallTimeout: waitLimit, BodyTimeout: waitLimit, WriteTimeout: waitLimit,
	}
	change(&limits)
	s.listener = intake.NewListener(inner, limits)
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.listener.Configure(server)
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.bodies <- err
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	switch r.URL.Path {
	case "/hold":
		<-s.hold
	case "/large":
		_, _ = w.Write(make([]byte, 20<<20))
	}
	fmt.Fprint(w, "done")
}

// send connects and writes a text.
func (s *testServer) send(text string) net.Conn {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	s.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, text)
	s.g.Expect(err).NotTo(HaveOccurred())
	return conn
}

// status returns the status of the next answer; 0 = the connection was closed without one.
func (s *testServer) status(conn net.Conn) int {
	s.g.Expect(conn.SetReadDeadline(time.Now().Add(waitLimit))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return -1
	}
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// awaitPhases waits until so many connections are in a phase.
func (s *testServer) awaitPhases(phase string, n int) {
	s.g.Eventually(func() int { return s.listener.Status().Phases[phase] }, waitLimit, pollInterval).Should(Equal(n))
}

const (
	get  = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	hold = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
)

// Guards against a wrong count of bytes wherever a head is divided, and after an earlier request on
// the connection: a head as long as the limit is always served. One that is longer by more than the
// buffer of the server, which may hold its beginning uncounted, is always refused.
func TestHeadLimitHoldsWhereverAHeadIsDivided(t *testing.T) {
	const limit, buffer = 2000, 4 << 10
	s := startServer(t, func(l *intake.Limits) { l.HeadBytes = func() int { return limit } })
	head := "GET /x HTTP/1.1\r\nHost: h\r\n"
	exact := head + strings.Repeat("a:\r\n", (limit-len(head)-2)/4) + "\r\n"
	exact = strings.Replace(exact, "Host: h", "Host: h"+strings.Repeat("h", limit-len(exact)), 1)
	s.g.Expect(exact).To(HaveLen(limit))
	longer := strings.Replace(exact, "a:\r\n", strings.Repeat("a:\r\n", 2+buffer/4), 1)
	for _, at := range []int{0, 1, len(head) - 1, 1000, 1001, 1998, 1999} {
		for _, before := range []string{"", get, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\na\r\n\r\n\n"} {
			for text, want := range map[string]int{exact: http.StatusOK, longer: http.StatusRequestHeaderFieldsTooLarge} {
				conn := s.send(before)
				if before != "" {
					s.g.Expect(s.status(conn)).To(Equal(http.StatusOK))
				}
				for _, part := range []string{text[:at], text[at:]} {
					_, _ = io.WriteString(conn, part)
					time.Sleep(time.Millisecond)
				}
				s.g.Expect(s.status(conn)).To(Equal(want), "divided at %d after %q", at, before)
				conn.Close()
			}
		}
	}
}

// Guards against a body's line ends being counted as fields: only the heads are bounded.
func TestBodyOfManyLinesIsNoHead(t *testing.T) {
	s := startServer(t, func(l *intake.Limits) { l.HeadBytes = func() int { return 200 } })
	const size = 100_000
	conn := s.send(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("\n", size))
	defer conn.Close()
	s.g.Expect(s.status(conn)).To(Equal(http.StatusOK))
}

// Guards against the wrong connection being cut: one that makes progress while another holds still,
// and, among those that hold still, not the one that holds most.
func TestStillConnectionThatHoldsMostIsCutFirst(t *testing.T) {
	s := startServer(t, func(l *intake.Limits) { l.MaxConnections = 4 })
	open := "POST /x HTTP/1.1\r\nHost: h\r\n"
	large := s.send(open + strings.Repeat("a:\r\n", 2000))
	defer large.Close()
	small := s.send(open + "a:\r\n")
	defer small.Close()
	running := s.send(hold)
	defer running.Close()
	moving := s.send(open + strings.Repeat("a:\r\n", 2500))
	defer moving.Close()
	s.awaitPhases("head", 3)
	for range 30 {
		_, err := io.WriteString(moving, "a:\r\n")
		s.g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
	}
	another := s.send(get)
	defer another.Close()
	s.g.Expect(s.status(another)).To(Equal(http.StatusOK))
	s.g.Expect(s.status(large)).To(Equal(0), "cut first")
	for _, c := range []net.Conn{small, moving} {
		_, err := io.WriteString(c, "\r\n")
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(s.status(c)).To(Equal(http.StatusOK))
	}
	close(s.hold)
	s.g.Expect(s.status(running)).To(Equal(http.StatusOK))
}

// Guards against a request in progress being cut for others: these are refused as not run.
func TestRunningRequestIsNotCut(t *testing.T) {
	s := startServer(t, func(l *intake.Limits) { l.MaxConnections = 2 })
	running := []net.Conn{s.send(hold), s.send(hold)}
	s.awaitPhases("run", 2)
	refused := s.send(get)
	defer refused.Close()
	_ = refused.SetReadDeadline(time.Now().Add(waitLimit))
	text, _ := io.ReadAll(refused) // a reset may follow
	if len(text) > 0 {
		s.g.Expect(string(text)).To(And(HavePrefix("HTTP/1.1 503"), ContainSubstring("not_run")))
	}
	close(s.hold)
	for _, c := range running {
		defer c.Close()
		s.g.Expect(s.status(c)).To(Equal(http.StatusOK))
	}
	s.g.Expect(s.listener.Status().Cut).To(HaveKeyWithValue(intake.ReasonConnections, int64(1)))
}

// Guards against clients that keep all connections by pipelining requests without end: while others
// come, they are cut between two requests, and none runs of which the connection was cut.
func TestPipeliningConnectionIsCutForOthers(t *testing.T) {
	s := startServer(t, func(l *intake.Limits) { l.MaxConnections = 1 })
	pipelining := s.send(strings.Repeat(get, 40))
	defer pipelining.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				if _, err := io.WriteString(pipelining, strings.Repeat(get, 40)); err != nil {
					return
				}
			}
		}
	}()
	go func() { _, _ = io.Copy(io.Discard, pipelining) }()
	s.g.Eventually(func() int {
		conn := s.send(get)
		defer conn.Close()
		return s.status(conn)
	}, waitLimit, pollInterval).Should(Equal(http.StatusOK))
}

// Guards against heads that together take more memory than there is.
func TestHeadsStayWithinTheRoom(t *testing.T) {
	const maxBytes = 1 << 20
	s := startServer(t, func(l *intake.Limits) { l.MaxBytes = maxBytes })
	for range 20 {
		conn := s.send("GET /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1500))
		defer conn.Close()
		s.g.Expect(s.listener.Status().Held).To(BeNumerically("<=", maxBytes))
	}
	last := s.send(get)
	defer last.Close()
	s.g.Expect(s.status(last)).To(Equal(http.StatusOK))
	s.g.Expect(s.listener.Status().Cut[intake.ReasonMemory]).To(BeNumerically(">", 0))
}

// Guards against a body that stops short keeping its connection, and against its handler taking it
// for complete.
func TestBodyThatStallsEndsWithATimeout(t *testing.T) {
	s := startServer(t, func(l *intake.Limits) { l.StallTimeout = 100 * time.Millisecond })
	conn := s.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345")
	defer conn.Close()
	s.g.Expect(s.status(conn)).To(Equal(http.StatusRequestTimeout))
	s.g.Expect(<-s.bodies).To(MatchError(os.ErrDeadlineExceeded))
}

// Guards against a client that reads nothing keeping its answer and connection: the write times out.
func TestUnreadAnswerEnds(t *testing.T) {
	s := startServer(t, func(l *intake.Limits) { l.WriteTimeout = 100 * time.Millisecond })
	conn := s.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	defer conn.Close()
	s.awaitPhases("run", 1)
	s.g.Eventually(func() int { return s.listener.Status().Connections }, waitLimit, pollInterval).Should(BeZero())
	s.g.Expect(s.listener.Status().Held).To(BeZero())
}

// Guards against connections that are idle, or whose head does not come, staying for ever.
func TestIdleAndUnfinishedConnectionsEnd(t *testing.T) {
	s := startServer(t, func(l *intake.Limits) {
		l.IdleTimeout = func() time.Duration { return 200 * time.Millisecond }
		l.HeadTimeout = func() time.Duration { return 100 * time.Millisecond }
	})
	for _, text := range []string{"", "GET /x HTTP/1.1\r\nHo"} {
		conn := s.send(text)
		defer conn.Close()
		// net/http takes the beginning of a line at the end of what comes for a malformed field.
		s.g.Expect(s.status(conn)).To(BeElementOf(0, http.StatusBadRequest))
	}
	conn := s.send(get)
	defer conn.Close()
	s.g.Expect(s.status(conn)).To(Equal(http.StatusOK))
	s.g.Eventually(func() int { return s.listener.Status().Connections }, waitLimit, pollInterval).Should(BeZero())
}

// Guards against cuts that no one can see: what was cut is reported, once for many.
func TestCutsAreReported(t *testing.T) {
	reports := make(chan intake.Report, 10)
	s := startServer(t, func(l *intake.Limits) {
		l.MaxConnections = 2
		l.Report = func(r intake.Report) { reports <- r }
	})
	for range 6 {
		conn := s.send("GET")
		defer conn.Close()
		s.g.Eventually(func() int { return s.listener.Status().Phases["idle"] }, waitLimit, pollInterval).Should(BeZero())
	}
	var r intake.Report
	s.g.Eventually(reports, waitLimit).Should(Receive(&r))
	s.g.Expect(r.Counts).To(HaveKeyWithValue(intake.ReasonConnections, 4))
	s.g.Expect(r.Last.Phase).To(Equal("head"))
	s.g.Expect(r.Listener).To(Equal("test"))
}
