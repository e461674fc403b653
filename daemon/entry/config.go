// Package entry implements the process that serves callers. It admits requests
// within the limits of their client account, queues them, reserves places at
// agents, dispatches each request under one accepted grant, and relays the answer.
// When too many requests wait, or one waits too long, it sheds requests, but only of
// tiers below which nothing is in service in the pool.
package entry

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
)

// Defaults of Config.
const (
	DefaultDeadline       = 10 * time.Minute // of a request that states none
	DefaultMaxDeadline    = 10 * time.Minute
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxConnections = 8192
	DefaultMaxWaiting     = 4096             // requests
	DefaultBodyMemory     = 256 << 20        // bytes of all request bodies in memory
	DefaultReservations   = 3                // concurrent reservations for one request
	DefaultWindow         = 256              // requests of a pool that may hold reservations
	DefaultSubset         = 48               // agents of a pool that one entry uses
	DefaultReadTimeout    = 30 * time.Second // to read a request's body
	DefaultWriteTimeout   = 30 * time.Second // to write one piece of an answer
	DefaultDrainTimeout   = 10 * time.Minute
	DefaultRetryAfter     = 2 * time.Second
	DefaultRetryRatio     = 0.1 // further attempts per request, in the long run
)

// ShedPermit decides whether a request may be shed. The control goroutine calls
// it, so it must not block: if a permit has to be obtained first, it returns false
// and obtains the permit in the background.
type ShedPermit interface {
	// MayShed reports whether a request of a tier may be shed from a pool now.
	MayShed(now time.Duration, pool, tier string) bool
}

// Config holds the settings of an Entry. Limits that are zero take the defaults.
type Config struct {
	// ID is the instance ID.
	ID string
	// CallerAddress and InternalAddress are the HOST:PORT to listen on, for callers
	// and for the other processes of the system.
	CallerAddress   string
	InternalAddress string
	// FailureDomain is the failure domain of the instance.
	FailureDomain string
	// Table returns the table in force.
	Table func() *table.Table
	// Members returns the newest view of the instance list.
	Members func() membership.View
	// Permit decides which requests may be shed; nil = by permits that the entry
	// obtains from the members of the pool.
	Permit ShedPermit
	// Mount adds handlers to the internal listener, for example the table's; nil = none.
	Mount func(mux *http.ServeMux)
	// Log receives one line per event.
	Log zerolog.Logger
	// Meter creates the metric instruments; nil = no metrics.
	Meter metric.Meter
	// Seed initializes the random choices, such as those between equal agents, so
	// that they can be repeated.
	Seed int64

	// Deadline is the time to answer a request that states none.
	Deadline time.Duration
	// MaxDeadline is the longest time to answer a request; longer ones are reduced to it.
	MaxDeadline time.Duration
	// MaxBodyBytes limits one request body, BodyMemory the bytes of all bodies in memory.
	MaxBodyBytes int64
	BodyMemory   int64
	// MaxConnections limits the callers' connections; further ones wait to be accepted.
	MaxConnections int
	// MaxWaiting is the number of waiting requests above which those served last are shed.
	MaxWaiting int
	// Reservations is the number of agents that are asked for a place concurrently,
	// for one request.
	Reservations int
	// Window is the number of requests of a pool that may hold reservations.
	Window int
	// Subset is the number of agents of a pool that this entry uses.
	Subset int
	// StrictAttempts forbids a further attempt after one that may have started, for
	// all requests.
	StrictAttempts bool
	// ReadTimeout limits the time to read a request's body, WriteTimeout the time to
	// write one piece of an answer to the caller.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// DrainTimeout limits the time for answers in progress to finish at shutdown.
	DrainTimeout time.Duration
	// StartHold is how long after its start the entry starts no request, since an
	// earlier incarnation may have promised as a witness not to start any; see
	// shed.WitnessConfig.Hold. 0 = no earlier incarnation can have promised anything.
	StartHold time.Duration
	// RetryAfter is the delay that a refusal names when there is no better estimate.
	RetryAfter time.Duration
	// RetryRatio is the number of further attempts allowed per request in the long run.
	RetryRatio float64
	// NoAffinity disables prefix affinity.
	NoAffinity bool
}

func (c Config) withDefaults() (Config, error) {
	if c.ID == "" || c.CallerAddress == "" || c.InternalAddress == "" {
		return c, errors.New("entry config: ID, CallerAddress and InternalAddress are required")
	}
	if c.Table == nil || c.Members == nil {
		return c, errors.New("entry config: Table and Members are required")
	}
	orDefault(&c.Deadline, DefaultDeadline)
	orDefault(&c.MaxDeadline, DefaultMaxDeadline)
	orDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	orDefault(&c.BodyMemory, DefaultBodyMemory)
	orDefault(&c.MaxConnections, DefaultMaxConnections)
	orDefault(&c.MaxWaiting, DefaultMaxWaiting)
	orDefault(&c.Reservations, DefaultReservations)
	orDefault(&c.Window, DefaultWindow)
	orDefault(&c.Subset, DefaultSubset)
	orDefault(&c.ReadTimeout, DefaultReadTimeout)
	orDefault(&c.WriteTimeout, DefaultWriteTimeout)
	orDefault(&c.DrainTimeout, DefaultDrainTimeout)
	orDefault(&c.RetryAfter, DefaultRetryAfter)
	orDefault(&c.RetryRatio, DefaultRetryRatio)
	c.BodyMemory = max(c.BodyMemory, c.MaxBodyBytes)
	return c, nil
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
