// Package instancelist is a fake of the platform's list of instances that are running
// or about to leave. Readers see its rows with a configurable delay.
package instancelist

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/daemon/fake/internal/path"
)

// Options describes a list.
type Options struct {
	// Lag is the age of the rows that readers see.
	Lag time.Duration
}

// version holds the rows as they were set at one time.
type version struct {
	at   time.Time
	rows []membership.Instance
}

// List is a fake instance list. It is an http.Handler.
type List struct {
	opts Options
	echo *echo.Echo

	mu              sync.Mutex
	versions        []version
	droppedVersions int // older versions, which no reader sees any more
	outage          bool
}

// Reply is the body of a read and of a POST that sets rows.
type Reply struct {
	Instances []membership.Instance `json:"instances"`
}

// New returns an empty list.
func New(opts Options) *List {
	l := &List{opts: opts, echo: echo.New()}
	l.echo.GET("/v1/instances", l.get)
	l.echo.POST("/v1/instances", l.post)
	l.echo.DELETE("/v1/instances/:id", l.delete)
	return l
}

// ServeHTTP serves the list.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.echo.ServeHTTP(w, r)
}

// Set adds rows or replaces those with the same ID.
func (l *List) Set(rows ...membership.Instance) {
	l.change(func(old []membership.Instance) []membership.Instance {
		for _, row := range rows {
			old = append(without(old, row.ID), row)
		}
		return old
	})
}

// Remove deletes the row with an ID.
func (l *List) Remove(id string) {
	l.change(func(old []membership.Instance) []membership.Instance { return without(old, id) })
}

// SetOutage starts or ends an outage, in which every read fails.
func (l *List) SetOutage(out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = out
}

func without(rows []membership.Instance, id string) []membership.Instance {
	return slices.DeleteFunc(rows, func(i membership.Instance) bool { return i.ID == id })
}

func (l *List) change(edit func([]membership.Instance) []membership.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rows []membership.Instance
	if n := len(l.versions); n > 0 {
		rows = slices.Clone(l.versions[n-1].rows)
	}
	l.versions = append(l.versions, version{at: time.Now(), rows: edit(rows)})
}

// visible returns the rows as they were Options.Lag ago with the number of their
// version, and drops older versions.
func (l *List) visible() ([]membership.Instance, int) {
	seen := time.Now().Add(-l.opts.Lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(seen) {
		l.versions = l.versions[1:]
		l.droppedVersions++
	}
	if len(l.versions) == 0 || l.versions[0].at.After(seen) {
		return []membership.Instance{}, 0
	}
	return l.versions[0].rows, l.droppedVersions + 1
}

func (l *List) get(c echo.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	rows, number := l.visible()
	tag := strconv.Quote(strconv.Itoa(number))
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, Reply{Instances: rows})
}

func (l *List) post(c echo.Context) error {
	var rows Reply
	if err := c.Bind(&rows); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	l.Set(rows.Instances...)
	return c.NoContent(http.StatusNoContent)
}

func (l *List) delete(c echo.Context) error {
	l.Remove(path.Param(c, "id"))
	return c.NoContent(http.StatusNoContent)
}
