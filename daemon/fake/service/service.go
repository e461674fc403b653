// Package service is a stand-in for a plain service: a rental desk that answers
// whether a kit is free and takes bookings. It checks nothing: a booking that
// comes twice is booked twice, and the record shows it.
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

// Execution is one request that the desk carried out.
type Execution struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	// Path holds the query too.
	Path string `json:"path"`
	Body string `json:"body"`
	// Answer is the body that was sent, or would have been.
	Answer string `json:"answer"`
}

// Faults are the desk's misbehaviours. The zero value is a healthy desk.
type Faults struct {
	// LatencyMS delays every answer, in milliseconds; the request is carried out first.
	LatencyMS int64 `json:"latency_ms"`
	// Hang keeps carried out requests without an answer for as long as it is set.
	Hang bool `json:"hang"`
	// Refuse answers every request with 503 and does not carry it out.
	Refuse bool `json:"refuse"`
	// CloseBeforeAnswer is how many requests are carried out and their connection closed.
	CloseBeforeAnswer int `json:"close_before_answer"`
	// CloseMidAnswer is how many answers are cut in the middle.
	CloseMidAnswer int `json:"close_mid_answer"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mu         sync.Mutex
	faults     Faults
	changed    chan struct{}
	running    int
	executions []Execution
	routes     *echo.Echo
}

// New returns a healthy desk.
func New() *Server {
	d := &Server{changed: make(chan struct{})}
	d.routes = echo.New()
	d.routes.GET("/v1/load", d.load)
	d.routes.GET("/control/records", func(c echo.Context) error { return c.JSON(http.StatusOK, d.Executions()) })
	d.routes.POST("/control", d.control)
	d.routes.Any("/*", d.serve)
	return d
}

// ServeHTTP implements http.Handler.
func (d *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.routes.ServeHTTP(w, r) }

// Executions returns a copy of all that was carried out.
func (d *Server) Executions() []Execution {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Execution(nil), d.executions...)
}

// SetFaults replaces the faults in force.
func (d *Server) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
	close(d.changed)
	d.changed = make(chan struct{})
}

// control replaces the faults by those of a JSON body; fields left out are off.
func (d *Server) control(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	d.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (d *Server) load(c echo.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.JSON(http.StatusOK, struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}{Running: d.running})
}

// serve carries a request out, then answers it as far as the faults let it.
func (d *Server) serve(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	d.addRunning(1)
	defer d.addRunning(-1)
	status, answer, cut := d.execute(c.Request(), string(body))
	if !d.delayAnswer(c.Request()) || cut == cutBefore {
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

func (d *Server) addRunning(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running += n
}

// cut tells where an answer is cut.
type cut int

const (
	cutNone cut = iota
	cutBefore
	cutMiddle
)

func (d *Server) execute(r *http.Request, body string) (int, string, cut) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.Refuse {
		return http.StatusServiceUnavailable, `{"error":"closed"}`, cutNone
	}
	e := Execution{
		RequestID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.RequestURI(), Body: body,
	}
	var status int
	status, e.Answer = d.answer(r, body)
	d.executions = append(d.executions, e)
	switch {
	case d.faults.CloseBeforeAnswer > 0:
		d.faults.CloseBeforeAnswer--
		return status, e.Answer, cutBefore
	case d.faults.CloseMidAnswer > 0:
		d.faults.CloseMidAnswer--
		return status, e.Answer, cutMiddle
	}
	return status, e.Answer, cutNone
}

// kits is how many kits the desk lends.
const kits = 40

func (d *Server) answer(r *http.Request, body string) (int, string) {
	booked := 0
	for _, e := range d.executions {
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

// delayAnswer holds an answer back; false = the caller has gone.
func (d *Server) delayAnswer(r *http.Request) bool {
	d.mu.Lock()
	latency := time.Duration(d.faults.LatencyMS) * time.Millisecond
	d.mu.Unlock()
	select {
	case <-time.After(latency):
	case <-r.Context().Done():
		return false
	}
	for {
		d.mu.Lock()
		hang, changed := d.faults.Hang, d.changed
		d.mu.Unlock()
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
