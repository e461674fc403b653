package process

import (
	"context"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/agent"
	"primrosespoke.dev/daemon/claimlog"
	"primrosespoke.dev/daemon/settings"
)

// RunAgent runs an agent until ctx ends, then drains it. It logs to standard error. started may be
// nil.
func RunAgent(ctx context.Context, s *settings.Settings, started Started) error {
	b, err := newBase(s)
	if err != nil {
		return err
	}
	cfg, err := b.agentConfig()
	if err != nil {
		return err
	}
	served, err := agent.New(cfg)
	if err != nil {
		return err
	}
	claims, _ := cfg.Claims.(*claimlog.Log)
	c := agentControls{Agent: served, base: b, claims: claims}
	b.reportStarted(started, c)
	if claims != nil {
		return b.run(ctx, agentWithClaims{Agent: served, claims: claims}, b.operators(c))
	}
	return b.run(ctx, served, b.operators(c))
}

// agentConfig returns the agent's configuration. Only an agent of a plain service gets an
// incarnation and a log of claims.
func (b *base) agentConfig() (agent.Config, error) {
	s := b.settings
	cfg := agent.Config{
		ID:              s.ID,
		Address:         s.Addresses.Internal,
		FailureDomain:   s.FailureDomain,
		Pool:            s.Agent.Pool,
		Kind:            table.EndpointKind(s.Agent.Kind),
		EndpointURL:     s.Agent.EndpointURL,
		Table:           b.currentTable,
		Members:         b.members,
		Mount:           b.mount,
		Log:             b.log,
		Meter:           b.metrics.Meter,
		GrantLease:      s.Agent.GrantLease,
		StartHold:       startHold,
		AnswerRetention: s.Agent.RunRetention,
		CallerGrace:     s.Agent.CallerGrace,
		RecordRetention: s.Agent.RequestHorizon,
	}
	if !s.Agent.Preemption {
		cfg.MaxSuspended = agent.NoPreemption
	}
	if cfg.Kind != table.EndpointService {
		return cfg, nil
	}
	var err error
	if cfg.Incarnation, err = agent.NewIncarnation(); err != nil {
		return cfg, err
	}
	cfg.Claims, err = b.newClaims(cfg.Incarnation)
	return cfg, err
}
