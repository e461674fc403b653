// Package front is an entry that sends requests straight to endpoints. It holds
// its callers' connections, follows the configuration and the list of endpoints
// in the platform's store, shares what it holds with the other entries, and
// decides by the parts of coord/.
//
// One goroutine owns the state (control.go); a goroutine for each request moves
// its bytes. The formats of callers, endpoints and store are behind Wire and Store.
package front

import (
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/peer/backend"
)

// Config is what a front needs to know.
type Config struct {
	// ID is the unique name of the instance.
	ID            string
	FailureDomain string
	// CallerAddress is where callers connect, ReadyAddress where readiness is asked,
	// PeerAddress where other entries send reports, and OperatorAddress where metrics
	// and the dump are served. OperatorAddress may be empty.
	CallerAddress, ReadyAddress, PeerAddress, OperatorAddress string
	// ReadinessPath is where readiness is asked.
	ReadinessPath string

	Store Store
	Wire  Wire
	Log   zerolog.Logger
	// Meter creates the metrics; nil = none.
	Meter metric.Meter
	// Metrics serves them; nil = none.
	Metrics MetricsHandler
	Seed    int64

	// FreshFor is how long after the newest version was known for certain keys are trusted; 0 = for ever.
	FreshFor time.Duration
	// StopWithin is the time from a signal to the end of the process.
	StopWithin time.Duration
	// RetryRatio and RetryBurst bound the second sends of all entries together, by service.
	RetryRatio, RetryBurst float64
	// CapSlack is what a usage cap may be exceeded by, for all entries together.
	CapSlack float64
	// MaxBodyBytes bounds a body while no configuration states a limit.
	MaxBodyBytes int64

	Timing    Timing
	Scheduler scheduler.Config
	Backend   backend.Options
	Directory directory.Config
}

// Timing holds the intervals of a front.
type Timing struct {
	// ConfigurationWait is how long a read of the configuration waits for a change.
	ConfigurationWait time.Duration
	// EndpointInterval is the time between two reads of the list of endpoints.
	EndpointInterval time.Duration
	// MemberInterval is the time between two reads, and between two writes, of the list of entries.
	MemberInterval time.Duration
	// MemberLife is how long an entry counts after its row changed last.
	MemberLife time.Duration
	// ReportInterval is the least time between two reports to the other entries.
	ReportInterval time.Duration
	// ReportPerMember is the least time between two reports for each entry there is,
	// which bounds the reports that an entry sends and takes in a second.
	ReportPerMember time.Duration
	// CallTimeout bounds a call to the store, beyond the time that it waits.
	CallTimeout time.Duration
	// StoreRetry is the pause after a failed call to the store.
	StoreRetry time.Duration
	// Tick is the time between two looks at what waits.
	Tick time.Duration
	// LeaveRotation is how long after a signal new connections still come.
	LeaveRotation time.Duration
}

const (
	defaultConfigurationWait = 1800 * time.Millisecond
	defaultEndpointInterval  = 850 * time.Millisecond
	defaultMemberInterval    = 4 * time.Second
	defaultMemberLife        = 11 * time.Second
	defaultReportInterval    = 20 * time.Millisecond
	defaultReportPerMember   = 5 * time.Millisecond
	defaultCallTimeout       = 700 * time.Millisecond
	defaultStoreRetry        = 250 * time.Millisecond
	defaultTick              = 10 * time.Millisecond
	defaultLeaveRotation     = 2500 * time.Millisecond // the platform's balancer asks each second and needs two misses
	defaultSettle            = 2500 * time.Millisecond // living endpoints register again within two seconds
	defaultMaxBodyBytes      = 4 << 20
	// unheardAfter is how long an entry may be unheard before its part of the caps is left to it.
	unheardAfter = 500 * time.Millisecond
	// capSlackShare is the part of the caps' slack that is handed out; the rest covers reports under way.
	capSlackShare = 0.25
	// startShare is the part of a full cap that a front starts with.
	startShare = 0.3
	// readyLevel is the level of a cap, in seconds of its rate, at which refused requests are asked back.
	readyLevel = 0.2
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.ConfigurationWait, defaultConfigurationWait)
	setDefault(&t.EndpointInterval, defaultEndpointInterval)
	setDefault(&t.MemberInterval, defaultMemberInterval)
	setDefault(&t.MemberLife, defaultMemberLife)
	setDefault(&t.ReportInterval, defaultReportInterval)
	setDefault(&t.ReportPerMember, defaultReportPerMember)
	setDefault(&t.CallTimeout, defaultCallTimeout)
	setDefault(&t.StoreRetry, defaultStoreRetry)
	setDefault(&t.Tick, defaultTick)
	setDefault(&t.LeaveRotation, defaultLeaveRotation)
	return t
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (c Config) withDefaults() Config {
	c.Timing = c.Timing.withDefaults()
	setDefault(&c.Scheduler.ReportTTL, scheduler.DefaultReportTTL)
	setDefault(&c.Scheduler.RefuseMargin, scheduler.DefaultRefuseMargin)
	setDefault(&c.Directory.Settle, defaultSettle)
	setDefault(&c.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&c.StopWithin, 8*time.Second)
	return c
}
