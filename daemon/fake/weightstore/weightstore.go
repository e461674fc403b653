// Package weightstore is a fake of the platform's store of model weights, which
// limits the rate of reads.
package weightstore

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"primrosespoke.dev/daemon/fake/internal/path"
)

// Options describes a store.
type Options struct {
	// BytesPerSecond limits the rate of reads by all readers together; 0 = no limit.
	BytesPerSecond float64
	// Burst is how many bytes may be read at once above the rate; at least the size of one object.
	Burst float64
	// ObjectBytes is the size of every object.
	ObjectBytes int
}

// Store is a fake weight store. It is an http.Handler.
type Store struct {
	opts Options
	echo *echo.Echo

	mu       sync.Mutex
	tokens   float64   // bytes that may be read now
	refilled time.Time // when tokens was last updated
	outage   bool
	reads    int
}

// New returns a store that holds every model and version.
func New(opts Options) *Store {
	opts.Burst = max(opts.Burst, float64(opts.ObjectBytes))
	s := &Store{opts: opts, echo: echo.New(), tokens: opts.Burst, refilled: time.Now()}
	s.echo.GET("/v1/weights/:model/:version", s.get)
	return s
}

// ServeHTTP serves the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.echo.ServeHTTP(w, r)
}

// SetOutage starts or ends an outage, in which every read fails.
func (s *Store) SetOutage(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = out
}

// Reads returns how many objects were sent.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Object returns the contents stored for a model's version.
func Object(model, version string, size int) []byte {
	unit := []byte(model + "/" + version + ";")
	return bytes.Repeat(unit, size/len(unit)+1)[:size]
}

// take takes the tokens for one object from the bucket, or returns how long to wait
// for them.
func (s *Store) take(now time.Time) (time.Duration, bool) {
	if s.opts.BytesPerSecond <= 0 {
		return 0, true
	}
	elapsed := now.Sub(s.refilled).Seconds()
	s.tokens = min(s.opts.Burst, s.tokens+elapsed*s.opts.BytesPerSecond)
	s.refilled = now
	lacking := float64(s.opts.ObjectBytes) - s.tokens
	if lacking > 0 {
		return time.Duration(lacking / s.opts.BytesPerSecond * float64(time.Second)), false
	}
	s.tokens -= float64(s.opts.ObjectBytes)
	return 0, true
}

func (s *Store) get(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	wait, ok := s.take(time.Now())
	if !ok {
		seconds := int(math.Ceil(wait.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
		return c.NoContent(http.StatusTooManyRequests)
	}
	s.reads++
	object := Object(path.Param(c, "model"), path.Param(c, "version"), s.opts.ObjectBytes)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, object)
}
