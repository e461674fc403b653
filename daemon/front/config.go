// Package front implements an entry that sends requests directly to endpoints,
// without agents. It accepts callers' connections, follows the configuration and
// the list of endpoints in the platform's store, and reports its load and usage to
// the other entries. Routing, scheduling, usage caps and retries are decided by the
// packages under coord/.
//
// One goroutine owns the state (type control); each request has a goroutine of its
// own, which transfers its bytes. The interfaces Wire and Store hide the formats of
// callers, endpoints and the store.
package front

import (
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/peer/backend"
)

// Config holds the settings and dependencies of a Front.
type Config struct {
	// ID is the unique name of the instance.
	ID            string
	FailureDomain string
	// CallerAddress accepts callers, ReadyAddress serves the readiness check,
	// PeerAddress receives the other entries' reports (UDP) and topic reads (TCP), and
	// OperatorAddress serves metrics and the state dump. Without an OperatorAddress
	// neither is served.
	CallerAddress, ReadyAddress, PeerAddress, OperatorAddress string
	// ReadinessPath is the path of the readiness check.
	ReadinessPath string

	Store Store
	Wire  Wire
	Log   zerolog.Logger
	// Meter creates the metrics; nil = none.
	Meter metric.Meter
	// Metrics serves the metrics page; nil = none.
	Metrics MetricsHandler
	// Seed seeds the random choices of the scheduler and the retry budgets.
	Seed int64

	// MaxConfigurationAge is how long keys are trusted after the moment at which the
	// configuration was last known to be the newest; 0 = without limit.
	MaxConfigurationAge time.Duration
	// KeyPolicy says what a key counts for while the configuration lists no client accounts.
	KeyPolicy routing.KeyPolicy
	// ApplyWithin is how long after its confirmation a version of the configuration may not yet
	// be in force here.
	ApplyWithin time.Duration
	// StopTimeout bounds the time from the stop signal to the end of the process.
	StopTimeout time.Duration
	// RetryRatio and RetryBurst bound the further sends of requests to each service, by
	// all entries together: how many per request in the long run, and how many at once.
	RetryRatio, RetryBurst float64
	// CapSlack is how far the usage of all entries together may exceed a usage cap, in
	// the unit of the cap.
	CapSlack float64
	// ExposureShare is the part of the requests to a service that a bad software version may get
	// while it is rolled out, beyond ExposureSlack requests. RollbackWithin is how long after its
	// 50th bad answer it may still get requests. Without ExposureShare and RollbackWithin roll-outs
	// are off.
	ExposureShare, ExposureSlack float64
	RollbackWithin               time.Duration
	// LeaveWithin is how long after an endpoint was listed as leaving it may still get
	// requests.
	LeaveWithin time.Duration
	// Places is set if places of model engines are given out by homes; see package places.
	Places bool
	// FirstStart is set if the whole system starts for the first time, so that no caller has a
	// broken stream yet. It is ignored if an earlier run of this entry has left its row.
	FirstStart bool
	// MaxBodyBytes limits a request body where the configuration states no limit.
	MaxBodyBytes int64
	// MaxHeldBytes limits the bytes of endpoints' answers in memory.
	MaxHeldBytes int64
	// MaxBodiesBytes limits the bytes of callers' large bodies in memory.
	MaxBodiesBytes int64
	// MaxConnections limits the connections of callers; 0 = by the limit of open files.
	MaxConnections int
	// MaxClientsBytes limits the bytes that connections, heads and small bodies take, at all listeners.
	MaxClientsBytes int64
	// StallTimeout limits the time without a byte of a body.
	StallTimeout time.Duration

	Timing    Timing
	Scheduler scheduler.Config
	Backend   backend.Options
	Directory directory.Config
}

// Timing holds the intervals and timeouts of a front.
type Timing struct {
	// ConfigurationWait is how long a read of the configuration waits for a change (long poll).
	ConfigurationWait time.Duration
	// EndpointInterval is the time between two reads of the list of endpoints.
	EndpointInterval time.Duration
	// MemberInterval is the time between two reads, and between two writes, of the list of entries.
	MemberInterval time.Duration
	// MemberTTL is how long an entry counts as a member after its row last changed or its
	// last report came.
	MemberTTL time.Duration
	// ReportInterval is the minimum time between two reports to the other entries.
	ReportInterval time.Duration
	// ReportPerMember, multiplied by the number of entries, is a second minimum of the
	// time between two reports. It bounds the reports that an entry sends and receives
	// per second.
	ReportPerMember time.Duration
	// CallTimeout limits a call to the store, in addition to the time that a read waits
	// for a change.
	CallTimeout time.Duration
	// StoreRetry is the delay before a failed call to the store is repeated.
	StoreRetry time.Duration
	// TickInterval is the period at which the scheduler runs without new messages, and
	// due reports are sent.
	TickInterval time.Duration
	// DrainDelay is how long new connections are still accepted after the stop signal,
	// since the load balancer notices the failing readiness check late.
	DrainDelay time.Duration
}

const (
	defaultLeaveWithin     = 2 * time.Second
	defaultApplyWithin     = 2 * time.Second
	defaultMemberInterval  = 4 * time.Second
	defaultMemberTTL       = 11 * time.Second
	defaultReportInterval  = 20 * time.Millisecond
	defaultReportPerMember = 5 * time.Millisecond
	defaultCallTimeout     = 700 * time.Millisecond
	defaultStoreRetry      = 250 * time.Millisecond
	defaultTickInterval    = 10 * time.Millisecond
	defaultDrainDelay      = 2500 * time.Millisecond // the platform's load balancer checks once a second and needs two failures
	defaultReregisterTime  = 2500 * time.Millisecond // live endpoints register again within two seconds
	defaultMaxBodyBytes    = 4 << 20
	// capPeerTimeout is how long an entry may send no report before its share of the
	// usage caps is reserved for it.
	capPeerTimeout = 500 * time.Millisecond
	// usedCapSlackShare is the fraction of Config.CapSlack that requests may use; the rest
	// covers reports in transit.
	usedCapSlackShare = 0.25
	// initialCapFill is the fraction of each cap's burst that a front has available when
	// it starts, since it does not know what was spent before.
	initialCapFill = 0.3
	// listIntervalShare is the time between two reads of the list of endpoints, as a share of
	// Config.LeaveWithin.
	listIntervalShare = 0.4
	// listRefreshShare is the age at which a front stops waiting for other fronts' copies of
	// the list and reads the store, as a share of Config.LeaveWithin. It exceeds the time
	// between two reads, so that this is the exception.
	listRefreshShare = 0.55
	// hedgeShare is how long a read may be without an answer before a second one is sent on
	// another connection, as a share of Config.LeaveWithin for the list of endpoints and of
	// Config.ApplyWithin for the configuration.
	hedgeShare = 0.1
	// listMaxAgeShare is the age of the list up to which requests are sent by it, as a share of
	// Config.LeaveWithin. The rest is left for a request that has passed the check to arrive.
	listMaxAgeShare = 0.8
	// listWaitShare is how long a request waits for a list that is out of date before it is
	// refused, as a share of Config.LeaveWithin.
	listWaitShare = 0.15
	// outageGapShare is the time without a read of the list from which on rows may have
	// expired in an outage, as a share of Config.LeaveWithin. It exceeds the time between two
	// reads, also where one of them is late. For the configuration it is a share of
	// Config.ApplyWithin.
	outageGapShare = 0.6
	// configurationMaxAgeShare is the age of the configuration up to which requests are denied
	// or sent by it, as a share of Config.ApplyWithin.
	configurationMaxAgeShare = 0.9
	// configurationRefreshShare is the age at which a front stops waiting for other fronts'
	// copies of the configuration and reads the store, as a share of Config.ApplyWithin.
	configurationRefreshShare = 0.5
	// configurationWaitShare is how long a request waits for a configuration that is out of
	// date before it is refused, as a share of Config.ApplyWithin.
	configurationWaitShare = 0.15
	// retryCapLevel is the level to which a cap must have refilled before a refused request
	// is to be retried, in seconds of the cap's rate.
	retryCapLevel = 0.2
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.MemberInterval, defaultMemberInterval)
	setDefault(&t.MemberTTL, defaultMemberTTL)
	setDefault(&t.ReportInterval, defaultReportInterval)
	setDefault(&t.ReportPerMember, defaultReportPerMember)
	setDefault(&t.CallTimeout, defaultCallTimeout)
	setDefault(&t.StoreRetry, defaultStoreRetry)
	setDefault(&t.TickInterval, defaultTickInterval)
	setDefault(&t.DrainDelay, defaultDrainDelay)
	return t
}

func shareOf(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (c Config) withDefaults() Config {
	c.Timing = c.Timing.withDefaults()
	setDefault(&c.LeaveWithin, defaultLeaveWithin)
	setDefault(&c.ApplyWithin, defaultApplyWithin)
	setDefault(&c.Timing.ConfigurationWait, shareOf(c.ApplyWithin, configurationRefreshShare))
	setDefault(&c.Timing.EndpointInterval, shareOf(c.LeaveWithin, listIntervalShare))
	setDefault(&c.Scheduler.ReportTTL, scheduler.DefaultReportTTL)
	setDefault(&c.Scheduler.RefuseMargin, scheduler.DefaultRefuseMargin)
	c.Scheduler.FailureDomain = c.FailureDomain
	setDefault(&c.Directory.ReregisterTime, defaultReregisterTime)
	setDefault(&c.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&c.MaxHeldBytes, defaultHeldBytes)
	setDefault(&c.MaxBodiesBytes, defaultBodiesBytes)
	setDefault(&c.MaxClientsBytes, defaultClientsBytes)
	setDefault(&c.StallTimeout, defaultStallTimeout)
	setDefault(&c.StopTimeout, 8*time.Second)
	return c
}
