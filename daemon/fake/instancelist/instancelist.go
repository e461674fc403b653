// Package instancelist is a stand-in for the platform's list of live and leaving
// instances. Readers see its rows with a lag.
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

// Options describe a list.
type Options struct {
	// Lag is how old the rows are that readers see.
	Lag time.Duration
}

// version is the rows as they were set at a time.
type version struct {
	at   time.Time
	rows []membership.Instance
}

// List is the stand-in. It is an http.Handler.
type List struct {
	opts Options
	echo *echo.Echo

	mu              sync.Mutex
	versions        []version
	droppedVersions int // versions that no reader sees any more
	outage          bool
}

// Reply is the answer to a read.
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

// Remove takes a row away.
func (l *List) Remove(id string) {
	l.change(func(old []membership.Instance) []membership.Instance { return without(old, id) })
}

// SetOutage makes every read fail, or ends that.
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

// visible returns the rows as old as the lag with the number of their version, and
// forgets what is older.
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
