package process

import (
	"context"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/front"
	"primrosespoke.dev/daemon/settings"
	"primrosespoke.dev/daemon/telemetry"
)

const (
	// memoryLimitFraction is the fraction of the configured memory that becomes the soft memory
	// limit of the Go runtime.
	memoryLimitFraction = 0.7
	// memoryPartFraction is the fraction of the configured memory that endpoints' answers may take, and
	// callers' bodies, where no bound is set.
	memoryPartFraction = 0.25
	// clientsPartFraction is the fraction of the configured memory that connections, heads and small
	// bodies may take, where no bound is set.
	clientsPartFraction = 0.2
	// keyTrustFraction is the fraction of the time for which keys may be trusted after which a
	// front stops using them. The rest is left for sending a request after the check.
	keyTrustFraction = 0.9
)

// FrontPlatform holds the platform-specific parts of a front: the store of all persistent
// data, the formats of calls and answers, and the path of the readiness check.
type FrontPlatform struct {
	Store         front.Store
	Wire          front.Wire
	ReadinessPath string
	// ScarceMemory reports whether, by the names of the platform's terms, engines end when the requests
	// that they hold exceed their memory. Decisions for scarce capacity that are set to auto are on then.
	ScarceMemory func(terms []string) bool
	// ClientAccounts reports whether, by the names of the platform's terms, callers have client accounts.
	ClientAccounts func(terms []string) bool
}

// RunFront runs a front until ctx ends, then drains it. It logs to standard output. started may
// be nil.
func RunFront(ctx context.Context, s *settings.Settings, platform FrontPlatform, started Started) error {
	if s.Front.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Front.MemoryMB<<20)))
	}
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log, err := telemetry.NewLogger(out, s.LogLevel)
	if err != nil {
		return err
	}
	log = log.With().Str("instance", s.ID).Logger()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	terms := strings.Split(s.Front.PlatformTerms, ",")
	scarce := platform.ScarceMemory != nil && platform.ScarceMemory(terms)
	accounts := platform.ClientAccounts != nil && platform.ClientAccounts(terms)
	f, err := front.New(front.Config{
		ID: s.ID, FailureDomain: s.FailureDomain,
		CallerAddress: s.Front.Callers, ReadyAddress: s.Front.Readiness,
		PeerAddress: s.Front.Peers, OperatorAddress: s.Front.Operators,
		ReadinessPath: platform.ReadinessPath, Store: platform.Store, Wire: platform.Wire,
		Log: log, Meter: metrics.Meter, Metrics: metrics.Handler, Seed: time.Now().UnixNano(),
		MaxConfigurationAge: time.Duration(keyTrustFraction * float64(s.Front.TrustKeysFor)),
		KeyPolicy:           keyPolicy(s.Front.UnknownKeys, accounts),
		StopTimeout:         s.Front.StopWithin, RetryRatio: s.Front.RetryRatio, RetryBurst: s.Front.RetryBurst,
		CapSlack: s.Front.CapSlack, LeaveWithin: s.Front.LeaveWithin, ApplyWithin: s.Front.ApplyWithin,
		ExposureShare: s.Front.ExposureShare, ExposureSlack: s.Front.ExposureSlack, RollbackWithin: s.Front.RollbackWithin,
		FirstStart: s.Front.FirstStart, MaxHeldBytes: memoryPart(s.Front.HeldMB, s.Front.MemoryMB, memoryPartFraction),
		MaxBodiesBytes:  memoryPart(s.Front.BodiesMB, s.Front.MemoryMB, memoryPartFraction),
		MaxClientsBytes: memoryPart(s.Front.ClientsMB, s.Front.MemoryMB, clientsPartFraction),
		MaxConnections:  s.Front.Connections, StallTimeout: s.Front.StallTimeout,
		Scheduler: scheduler.Config{
			StatedLoad: mode(s.Front.StatedLoad, scarce), EngineMemory: mode(s.Front.EngineMemory, scarce),
			AccountSharing: mode(s.Front.AccountSharing, scarce), DomainPreference: mode(s.Front.DomainPreference, scarce),
		},
	})
	if err != nil {
		log.Error().Err(err).Msg("not_started")
		return err
	}
	if started != nil {
		started(log, func() any { return f.Dump() })
	}
	return f.Run(ctx)
}

// memoryPart returns the bytes of a part of the memory that is set in megabytes, or else its usual
// fraction; 0 = the front's default.
func memoryPart(mb, memoryMB int64, fraction float64) int64 {
	if mb > 0 {
		return mb << 20
	}
	return int64(fraction * float64(memoryMB<<20))
}

// keyPolicy returns the policy that a checked setting names. auto refuses unknown keys where there
// are client accounts by the platform's terms.
func keyPolicy(setting string, accounts bool) routing.KeyPolicy {
	if setting == "refuse" || setting == "auto" && accounts {
		return routing.RefuseUnknownKeys
	}
	return routing.IgnoreKeys
}

// mode returns the mode that a checked setting names. auto is on where capacity is scarce by the
// platform's terms.
func mode(setting string, scarce bool) scheduler.Mode {
	switch {
	case setting == "on", setting == "auto" && scarce:
		return scheduler.On
	case setting == "off":
		return scheduler.Off
	}
	return scheduler.Auto
}
