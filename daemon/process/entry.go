package process

import (
	"context"

	"primrosespoke.dev/daemon/entry"
	"primrosespoke.dev/daemon/settings"
)

// RunEntry runs an entry until ctx ends, then drains it. It logs to standard error. started may be
// nil.
func RunEntry(ctx context.Context, s *settings.Settings, started Started) error {
	b, err := newBase(s)
	if err != nil {
		return err
	}
	served, err := entry.New(b.entryConfig())
	if err != nil {
		return err
	}
	b.reportStarted(started, entryControls{served})
	return b.run(ctx, served, b.operators(entryControls{served}))
}

func (b *base) entryConfig() entry.Config {
	s := b.settings
	return entry.Config{
		ID:              s.ID,
		CallerAddress:   s.Addresses.Caller,
		InternalAddress: s.Addresses.Internal,
		FailureDomain:   s.FailureDomain,
		Table:           b.currentTable,
		Members:         b.members,
		Mount:           b.mount,
		Log:             b.log,
		Meter:           b.metrics.Meter,
		Seed:            b.started.UnixNano(),
		Deadline:        s.Entry.DefaultDeadline,
		MaxDeadline:     s.Entry.MaxDeadline,
		StartHold:       startHold,
		MaxBodyBytes:    s.Entry.MaxBodyBytes,
		MaxWaiting:      s.Entry.MaxWaiting,
		Reservations:    s.Entry.Reservations,
		StrictAttempts:  s.Entry.Attempts == "strict",
	}
}
