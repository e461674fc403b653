package process

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"primrosespoke.dev/daemon/front"
	"primrosespoke.dev/daemon/settings"
	"primrosespoke.dev/daemon/telemetry"
)

const (
	// memoryLimitFraction is the part of a process's memory that the collector keeps to.
	memoryLimitFraction = 0.7
	// keyTrustFraction is the part of the time for which keys may be trusted that is used:
	// a request is still to be sent after the check.
	keyTrustFraction = 0.9
	// listIntervalFraction is the part of the time within which a leaving endpoint must be left
	// that may pass between two reads of the list; the rest covers a call that fails.
	listIntervalFraction = 0.4
)

// FrontPlatform are the formats of the platform that a front stands on.
type FrontPlatform struct {
	Store         front.Store
	Wire          front.Wire
	ReadinessPath string
}

// RunFront runs a front until ctx ends. Reload checks the settings again; it is called at SIGHUP.
func RunFront(ctx context.Context, s *settings.Settings, peers FrontPlatform, reload func() error) error {
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
	f, err := front.New(front.Config{
		ID: s.ID, FailureDomain: s.FailureDomain,
		CallerAddress: s.Front.Callers, ReadyAddress: s.Front.Readiness,
		PeerAddress: s.Front.Peers, OperatorAddress: s.Front.Operators,
		ReadinessPath: peers.ReadinessPath, Store: peers.Store, Wire: peers.Wire,
		Log: log, Meter: metrics.Meter, Metrics: metrics.Handler, Seed: time.Now().UnixNano(),
		MaxConfigurationAge: time.Duration(keyTrustFraction * float64(s.Front.TrustKeysFor)),
		StopTimeout:         s.Front.StopWithin, RetryRatio: s.Front.RetryRatio, RetryBurst: s.Front.RetryBurst,
		CapSlack: s.Front.CapSlack,
		Timing:   front.Timing{EndpointInterval: time.Duration(listIntervalFraction * float64(s.Front.LeaveWithin))},
	})
	if err != nil {
		log.Error().Err(err).Msg("not_started")
		return err
	}
	go watchReload(ctx, log, reload)
	return f.Run(ctx)
}

// watchReload checks the settings file at SIGHUP. Settings are read at the start; what
// may change while a process runs comes with the configuration.
func watchReload(ctx context.Context, log zerolog.Logger, reload func() error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			if err := reload(); err != nil {
				log.Error().Err(err).Msg("settings_unusable")
				continue
			}
			log.Info().Msg("settings_read_again")
		}
	}
}
