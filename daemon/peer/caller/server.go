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

// Config of a Server.
type Config struct {
	// Handler carries out requests.
	Handler Handler
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// MaxConnections bounds the callers' connections; more wait to be accepted.
	MaxConnections int
	// ReadTimeout bounds the reading of a body.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time that a caller takes for one piece of its answer.
	WriteTimeout time.Duration
	// Log gets one line an event.
	Log zerolog.Logger
}

// Server answers callers.
type Server struct {
	config Config
	http   *http.Server
}

// NewServer returns a server that does not listen yet.
func NewServer(config Config) *Server {
	s := &Server{config: config}
	router := echo.New()
	router.POST("/v1/chat/completions", s.chat)
	router.GET("/v1/models", s.models)
	router.Any(servicesPrefix+":name", s.service)
	router.Any(servicesPrefix+":name/*", s.service)
	router.GET("/readyz", s.ready)
	router.HTTPErrorHandler = s.routeError
	s.http = &http.Server{
		Handler:           router,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	return s
}

// Serve answers callers on a listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	limited := netutil.LimitListener(listener, s.config.MaxConnections)
	err := s.http.Serve(limited)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Shutdown closes the listener and waits for the requests in progress until
// ctx ends; then it cuts those that are left.
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

// handle reads a request in the order that refuses soonest, then hands it over.
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
	release, problem := s.holdBody(c, r)
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
	w.release()
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

// routeError refuses a path or a method that there is no route for.
func (s *Server) routeError(err error, c echo.Context) {
	problem := &Problem{Kind: "not-found", Status: http.StatusNotFound, Detail: "there is nothing at this path", Outcome: OutcomeNotRun}
	var routing *echo.HTTPError
	if errors.As(err, &routing) && routing.Code == http.StatusMethodNotAllowed {
		problem = &Problem{Kind: "method", Status: http.StatusMethodNotAllowed, Detail: "this path takes other methods", Outcome: OutcomeNotRun}
	}
	r := &Request{}
	_ = readHeaders(c.Request(), r)
	newResponse(c.Response(), r.ID, s.config.WriteTimeout).WriteProblem(problem)
}
