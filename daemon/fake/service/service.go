// Package service is a fake of a service that isn't a model engine: it lends kits,
// answers how many are free and takes bookings. It does not deduplicate: a booking
// that arrives twice is booked twice, and the record of executions shows it.
package service

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Execution is one request that the server carried out.
type Execution struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	// Path includes the query.
	Path string `json:"path"`
	Body string `json:"body"`
	// Answer is the body of the answer, even if a fault kept it from being sent.
	Answer string `json:"answer"`
}

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// LatencyMS delays every answer, in milliseconds; the request is carried out first.
	LatencyMS int64 `json:"latency_ms"`
	// Hang holds back the answers of requests that were carried out for as long as it is set.
	Hang bool `json:"hang"`
	// Refuse answers every request with 503 and does not carry it out.
	Refuse bool `json:"refuse"`
	// CloseBeforeAnswer is how many requests are carried out before their connection
	// is closed without an answer.
	CloseBeforeAnswer int `json:"close_before_answer"`
	// CloseMidAnswer is how many answers end in the middle.
	CloseMidAnswer int `json:"close_mid_answer"`
}

// Server is the fake service. It is an http.Handler.
type Server struct {
	mu         sync.Mutex
	faults     Faults
	changed    chan struct{}
	running    int
	executions []Execution
	routes     *echo.Echo
}

// New returns a server without faults.
func New() *Server {
	s := &Server{changed: make(chan struct{})}
	s.routes = echo.New()
	s.routes.GET("/v1/load", s.load)
	s.routes.GET("/control/records", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Executions()) })
	s.routes.POST("/control", s.control)
	s.routes.Any("/*", s.serve)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.routes.ServeHTTP(w, r) }

// Executions returns a copy of all executions so far.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// control replaces the faults by those in a JSON body; fields left out are off.
func (s *Server) control(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) load(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}{Running: s.running})
}

// serve carries out a request, then answers it as far as the faults allow.
func (s *Server) serve(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.addRunning(1)
	defer s.addRunning(-1)
	status, answer, cut := s.execute(c.Request(), string(body))
	if !s.delayAnswer(c.Request()) || cut == cutBefore {
		panic(http.ErrAbortHandler)
	}
	c.Response().Header().Set("Content-Type", "application/json")
	c.Response().Header().Set("Content-Length", strconv.Itoa(len(answer)))
	c.Response().WriteHeader(status)
	if cut == cutMiddle {
		_, _ = c.Response().Write([]byte(answer[:len(answer)/2]))
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	_, err = c.Response().Write([]byte(answer))
	return err
}

func (s *Server) addRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

// cut says where the connection is closed while an answer is sent.
type cut int

const (
	cutNone cut = iota
	cutBefore
	cutMiddle
)

func (s *Server) execute(r *http.Request, body string) (int, string, cut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse {
		return http.StatusServiceUnavailable, `{"error":"closed"}`, cutNone
	}
	e := Execution{
		RequestID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.RequestURI(), Body: body,
	}
	var status int
	status, e.Answer = s.answer(r, body)
	s.executions = append(s.executions, e)
	switch {
	case s.faults.CloseBeforeAnswer > 0:
		s.faults.CloseBeforeAnswer--
		return status, e.Answer, cutBefore
	case s.faults.CloseMidAnswer > 0:
		s.faults.CloseMidAnswer--
		return status, e.Answer, cutMiddle
	}
	return status, e.Answer, cutNone
}

// kits is how many kits the service lends.
const kits = 40

func (s *Server) answer(r *http.Request, body string) (int, string) {
	booked := 0
	for _, e := range s.executions {
		if e.Method == http.MethodPost && strings.HasPrefix(e.Path, "/bookings") {
			booked++
		}
	}
	id := r.Header.Get("X-Request-Id")
	switch {
	case strings.HasPrefix(r.URL.Path, "/bookings") && r.Method == http.MethodPost:
		return http.StatusCreated, fmt.Sprintf(`{"booking":"b-%d","request":%q,"asked":%q}`, booked+1, id, body)
	case strings.HasPrefix(r.URL.Path, "/availability"):
		return http.StatusOK, fmt.Sprintf(`{"free":%d,"request":%q}`, max(kits-booked, 0), id)
	default:
		return http.StatusOK, fmt.Sprintf(`{"method":%q,"path":%q,"request":%q,"body":%q}`, r.Method, r.URL.RequestURI(), id, body)
	}
}

// delayAnswer holds an answer back while a fault delays it; false = the caller has gone.
func (s *Server) delayAnswer(r *http.Request) bool {
	s.mu.Lock()
	latency := time.Duration(s.faults.LatencyMS) * time.Millisecond
	s.mu.Unlock()
	select {
	case <-time.After(latency):
	case <-r.Context().Done():
		return false
	}
	for {
		s.mu.Lock()
		hang, changed := s.faults.Hang, s.changed
		s.mu.Unlock()
		if !hang {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}
