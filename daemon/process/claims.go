package process

import (
	"context"

	"primrosespoke.dev/coord/claim"
	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/agent"
	"primrosespoke.dev/daemon/claimlog"
)

// agentWithClaims is an agent of a plain service together with its log of claims.
type agentWithClaims struct {
	*agent.Agent
	claims *claimlog.Log
}

// Run implements service. The claims keep running until the agent has drained, and pending
// claim records are written before Run returns.
func (a agentWithClaims) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.claims.Run(inner)
	}()
	err := a.Agent.Run(ctx)
	stop()
	<-ended
	return err
}

// newClaims returns the log of claims for an agent of the given incarnation.
func (b *base) newClaims(incarnation string) (*claimlog.Log, error) {
	s := b.settings.Claims
	return claimlog.New(claimlog.Config{
		LogService: b.logService,
		Stream:     s.Stream,
		Claim: claim.Config{
			Incarnation: incarnation,
			Horizon:     s.Horizon,
			BatchDelay:  s.Batch,
		},
		SnapshotWriter: b.writesSnapshots,
		Log:            b.log,
		Meter:          b.metrics.Meter,
	})
}

// writesSnapshots reports whether rendezvous hashing over the live agents of all plain
// services selects this agent to write the snapshots of the claims.
func (b *base) writesSnapshots() bool {
	rows := b.currentTable()
	if rows == nil {
		return false
	}
	var candidates []membership.Instance
	view := b.members()
	for name, row := range rows.Endpoints {
		if row.Kind != table.EndpointService {
			continue
		}
		for _, i := range view.Agents(name) {
			if i.State == membership.StateLive {
				candidates = append(candidates, i)
			}
		}
	}
	if len(candidates) == 0 {
		return false
	}
	chosen := membership.Rendezvous(b.settings.Claims.Stream, candidates)[0]
	return chosen.Address == b.settings.Addresses.Internal
}
