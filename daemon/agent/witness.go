package agent

import (
	"context"
	"net/http"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/shed"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// newWitness returns the agent's witness for permits to shed. During cfg.StartHold the
// machine gives no grants, so that no dispatch has to be refused.
func newWitness(cfg Config, machine *endpoint.Machine) *shed.Witness {
	if cfg.StartHold > 0 {
		machine.Step(cfg.Now(), endpoint.Floor{Rank: -1, Duration: cfg.StartHold})
	}
	return shed.NewWitness(shed.WitnessConfig{
		MaxLease: shed.DefaultLease, Hold: cfg.StartHold, RestartWindow: cfg.RecordRetention,
	}, cfg.Now())
}

// Witness implements nodepb.Agent.
func (s *server) Witness(ctx context.Context, req *nodepb.WitnessRequest) (*nodepb.WitnessReply, error) {
	return ask(ctx, s.agent.control, func(reply chan *nodepb.WitnessReply) message {
		return witnessMessage{question: node.DecodeWitnessRequest(req), reply: reply}
	})
}

// witnessMessage asks the witness a question.
type witnessMessage struct {
	question shed.Question
	reply    chan *nodepb.WitnessReply
}

func (m witnessMessage) apply(c *control) {
	reply := c.answerQuestion(m.question)
	reply.Incarnation = c.cfg.Incarnation
	m.reply <- node.EncodeWitnessReply(reply)
}

// answerQuestion answers a question to the witness. Two floors are set: the machine's
// forbids grants and resumes, and the witness's forbids dispatches, whose tiers it
// compares by the newest table.
func (c *control) answerQuestion(q shed.Question) shed.Reply {
	t := c.cfg.Table()
	if t == nil || q.Pool != c.cfg.Pool {
		return shed.Reply{}
	}
	ranks := node.RanksOf(t)
	rank, known := ranks[q.Tier]
	if !known || q.Version != t.Version || q.Lease > shed.DefaultLease {
		return shed.Reply{Version: t.Version}
	}
	s := shed.LocalState{Version: t.Version, Ranks: ranks, Serving: c.servingTiers(t.Version)}
	s.Agents, s.Entries = c.knownMembers()
	for _, tier := range s.Serving {
		if own, ok := ranks[tier]; !ok || own > rank {
			return shed.Reply{Version: t.Version, LowerTier: tier}
		}
	}
	for _, effect := range c.step(endpoint.Floor{Rank: rank, Duration: q.Lease}) {
		if refused, ok := effect.(endpoint.FloorRefused); ok {
			return shed.Reply{Version: t.Version, LowerTier: refused.Tier}
		}
	}
	return c.witness.AnswerAsAgent(c.cfg.Now(), q, s)
}

// servingTiers returns the tiers of the runs in service. The machine compares the ranks
// that applied when the place was reserved. After a change of the table it might
// therefore resume a suspended run in spite of the floor, so such runs count too.
func (c *control) servingTiers(version int64) []string {
	var tiers []string
	for _, r := range c.runs {
		select {
		case <-r.ended:
			continue
		default:
		}
		if !r.gate.isSuspended() || r.tableVersion != version {
			tiers = append(tiers, r.header.Tier)
		}
	}
	return tiers
}

// isSuspended reports whether the run is suspended, which is when the gate is closed.
func (g *gate) isSuspended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// knownMembers returns the addresses of the members of the pool that this agent knows:
// those of the instance list, and the entries that dispatched its runs.
func (c *control) knownMembers() (agents, entries []string) {
	view := c.cfg.Members()
	agents = addresses(view.Agents(c.cfg.Pool))
	entries = addresses(view.Entries())
	for _, r := range c.runs {
		if r.header.Entry != "" {
			entries = append(entries, r.header.Entry)
		}
	}
	return agents, entries
}

// addresses returns the addresses of instances.
func addresses(instances []membership.Instance) []string {
	list := make([]string, 0, len(instances))
	for _, i := range instances {
		list = append(list, i.Address)
	}
	return list
}

// floorRefusal refuses a dispatch of a tier below a floor that the witness promised;
// nil = it may start.
func (c *control) floorRefusal(h *nodepb.DispatchHeader) *nodepb.Refusal {
	t := c.cfg.Table()
	if t == nil || c.witness.MayStart(c.cfg.Now(), c.cfg.Pool, "", h.Tier, node.RanksOf(t)) {
		return nil
	}
	return &nodepb.Refusal{
		Outcome: nodepb.Refusal_NOT_RUN, Status: http.StatusServiceUnavailable,
		Reason: "nothing of this tier is started now", RetryAfterMs: shed.DefaultLease.Milliseconds(),
	}
}
