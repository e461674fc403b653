package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
)

const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	servicesPrefix    = "/services/"
)

// Config holds the settings of a Server.
type Config struct {
	// Handler carries out requests.
	Handler Handler
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxConnections bounds the open connections; further ones wait to be accepted.
	MaxConnections int
	// ReadTimeout bounds the time in which the body of a request must arrive.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write of a part of an answer, against callers that don't read.
	WriteTimeout time.Duration
	// Log is the logger.
	Log zerolog.Logger
}

// Server is the HTTP server for callers.
type Server struct {
	config Config
	http   *http.Server
}

// NewServer returns a server that is not serving yet.
func NewServer(config Config) *Server {
	s := &Server{config: config}
	router := echo.New()
	router.POST("/v1/chat/completions", s.chat)
	router.GET("/v1/models", s.models)
	router.Any(servicesPrefix+":name", s.service)
	router.Any(servicesPrefix+":name/*", s.service)
	router.GET("/readyz", s.ready)
	router.HTTPErrorHandler = s.writeRouteError
	s.http = &http.Server{
		Handler:           router,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	return s
}

// Serve accepts connections from a listener and serves them until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	limited := netutil.LimitListener(listener, s.config.MaxConnections)
	err := s.http.Serve(limited)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Shutdown closes the listener and waits for the requests in progress. When ctx ends,
// it closes the connections of those that are left.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Wrap(s.http.Close(), "close callers' connections")
	}
	return nil
}

func (s *Server) chat(c echo.Context) error {
	return s.handle(c, &Request{Method: http.MethodPost, Path: "/v1/chat/completions"}, parseChat)
}

func (s *Server) service(c echo.Context) error {
	r := &Request{
		Service:  true,
		Endpoint: c.Param("name"),
		Method:   c.Request().Method,
		Path:     servicePath(c.Request().URL, c.Param("name")),
	}
	return s.handle(c, r, nil)
}

// handle reads and checks a request and calls the handler. The cheapest checks come
// first; the body is read only after the request was admitted.
func (s *Server) handle(c echo.Context, r *Request, parse func(*Request) *Problem) error {
	headerProblem := readHeaders(c.Request(), r)
	w := newResponse(c.Response(), r.ID, s.config.WriteTimeout)
	if headerProblem != nil {
		w.WriteProblem(headerProblem)
		return nil
	}
	ctx := c.Request().Context()
	if problem := s.config.Handler.Admit(ctx, r); problem != nil {
		w.WriteProblem(problem)
		return nil
	}
	release, problem := s.acquireBodyMemory(c, r)
	if problem != nil {
		w.WriteProblem(problem)
		return nil
	}
	defer release()
	if problem := s.readBody(c, r); problem != nil {
		w.WriteProblem(problem)
		return nil
	}
	if parse != nil {
		if problem := parse(r); problem != nil {
			w.WriteProblem(problem)
			return nil
		}
	}
	s.config.Handler.Handle(ctx, r, w)
	w.clearWriteDeadline()
	if w.aborted {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (s *Server) models(c echo.Context) error {
	r := &Request{}
	problem := readHeaders(c.Request(), r)
	var names []string
	if problem == nil {
		names, problem = s.config.Handler.Models(r.KeyDigest)
	}
	if problem != nil {
		newResponse(c.Response(), r.ID, s.config.WriteTimeout).WriteProblem(problem)
		return nil
	}
	return c.JSON(http.StatusOK, newModelList(names))
}

func (s *Server) ready(c echo.Context) error {
	if !s.config.Handler.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// writeRouteError answers a request whose path or method has no route.
func (s *Server) writeRouteError(err error, c echo.Context) {
	problem := &Problem{Kind: "not-found", Status: http.StatusNotFound, Detail: "there is nothing at this path", Outcome: OutcomeNotRun}
	var routing *echo.HTTPError
	if errors.As(err, &routing) && routing.Code == http.StatusMethodNotAllowed {
		problem = &Problem{Kind: "method", Status: http.StatusMethodNotAllowed, Detail: "this path takes other methods", Outcome: OutcomeNotRun}
	}
	r := &Request{}
	_ = readHeaders(c.Request(), r)
	newResponse(c.Response(), r.ID, s.config.WriteTimeout).WriteProblem(problem)
}
