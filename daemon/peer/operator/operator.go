// Package operator implements the HTTP interface for operators: the table and its
// edits, the state dump, drain, liveness, readiness and metrics. No other package knows
// the formats of its requests and responses.
package operator

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/table"
)

// Paths of the operators' HTTP interface.
const (
	PathTable   = "/v1/table"
	PathPreview = "/v1/table/preview"
	PathEdits   = "/v1/table/edits"
	PathHistory = "/v1/table/history"
	PathDump    = "/v1/dump"
	PathDrain   = "/v1/drain"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	// PathReleasePart lets go of a part of prompts under which endpoints crashed, by POST with
	// the parameter part.
	PathReleasePart = "/v1/parts/release"
	// PathReleaseRequest lets go of a request under which endpoints crashed, by POST with the
	// parameter content.
	PathReleaseRequest = "/v1/requests/release"
	// PathReleaseLimit lets go of the limit that an endpoint named, by POST with the parameter
	// endpoint.
	PathReleaseLimit = "/v1/limits/release"
)

// Table is the part of tablesync.Syncer that operators use.
type Table interface {
	Current() *table.Table
	Ready() bool
	Submit(ctx context.Context, edit table.Edit) (table.Verdict, error)
	Preview(ctx context.Context, edit table.Edit) (table.Verdict, error)
	History(ctx context.Context) ([]table.Verdict, error)
}

// Config holds what the handlers call. Without a function its path is not served.
type Config struct {
	// Table is the table that operators read and edit; required.
	Table Table
	// Live and Ready answer the probes of liveness and readiness.
	Live, Ready func() bool
	// Dump returns the state of the process, which is encoded as JSON.
	Dump func() any
	// Drain starts a drain if on is true, and recalls it otherwise.
	Drain func(ctx context.Context, on bool) error
	// Metrics serves the metrics page.
	Metrics http.Handler
	// Log receives the log lines.
	Log zerolog.Logger
}

type server struct {
	cfg Config
}

// New returns the handler for the operators' listener.
func New(cfg Config) http.Handler {
	s := &server{cfg: cfg}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.writeError
	e.GET(PathTable, s.getTable)
	e.POST(PathPreview, s.preview)
	e.POST(PathEdits, s.submit)
	e.GET(PathHistory, s.history)
	s.addProcessRoutes(e)
	return e
}

// addProcessRoutes adds the routes that concern the process and not the table.
func (s *server) addProcessRoutes(e *echo.Echo) {
	if s.cfg.Live != nil {
		e.GET(PathHealth, probe(s.cfg.Live))
	}
	if s.cfg.Ready != nil {
		e.GET(PathReady, probe(s.cfg.Ready))
	}
	if s.cfg.Metrics != nil {
		e.GET(PathMetrics, echo.WrapHandler(s.cfg.Metrics))
	}
	if s.cfg.Dump != nil {
		e.GET(PathDump, func(c echo.Context) error { return c.JSONPretty(http.StatusOK, s.cfg.Dump(), "  ") })
	}
	if s.cfg.Drain != nil {
		e.POST(PathDrain, s.drain(true))
		e.DELETE(PathDrain, s.drain(false))
	}
}

// probe answers 200 while healthy returns true, and 503 otherwise.
func probe(healthy func() bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		if healthy() {
			return c.String(http.StatusOK, "ok\n")
		}
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
}

// drain returns the handler that starts a drain, or with on = false recalls it.
func (s *server) drain(on bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := s.cfg.Drain(c.Request().Context(), on); err != nil {
			return &Problem{Kind: "drain", Status: http.StatusConflict, Detail: err.Error()}
		}
		return c.JSON(http.StatusOK, DrainBody{Draining: on})
	}
}

// DrainBody is the response body of a drain or its recall.
type DrainBody struct {
	Draining bool `json:"draining"`
}
