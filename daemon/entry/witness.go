package entry

import (
	"context"
	"slices"
	"time"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/coord/shed"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// permits obtains permits to shed from the members of the pool.
type permits struct {
	control *control
	lowest  lowestTier
}

// MayShed implements ShedPermit. The least urgent tier needs no permit.
func (p permits) MayShed(now time.Duration, pool, tier string) bool {
	t := p.lowest.table()
	if t == nil {
		return false
	}
	if p.lowest.MayShed(now, pool, tier) {
		return true
	}
	return p.control.requester.MayShed(now, pool, tier, t.Version, node.RanksOf(t))
}

// newWitness returns the entry's witness for permits to shed. An earlier
// incarnation's callers may have left requests in service for as long as a deadline allows.
func newWitness(e *Entry) *shed.Witness {
	cfg := shed.WitnessConfig{MaxLease: shed.DefaultLease, Hold: e.config.StartHold}
	if cfg.Hold > 0 {
		cfg.RestartWindow = e.config.MaxDeadline
	}
	return shed.NewWitness(cfg, e.now())
}

// tickPermits moves the rounds for permits on.
func (c *control) tickPermits(now time.Duration) {
	if t := c.entry.config.Table(); t != nil {
		c.sendAsks(now, c.requester.Tick(now, t.Version, c.members))
	}
}

// members lists a pool's agents and all entries, this one included.
func (c *control) members(pool string) shed.Members {
	view := c.entry.config.Members()
	m := shed.Members{Agents: addresses(view.Agents(pool)), Entries: addresses(view.Entries())}
	if self := c.entry.InternalAddress(); !slices.Contains(m.Entries, self) {
		m.Entries = append(m.Entries, self)
	}
	return m
}

func addresses(instances []membership.Instance) []string {
	list := make([]string, 0, len(instances))
	for _, i := range instances {
		list = append(list, i.Address)
	}
	return list
}

// sendAsks asks the members; the entry answers for itself at once.
func (c *control) sendAsks(now time.Duration, asks []shed.Query) {
	for _, ask := range asks {
		if ask.Entry && ask.Member == c.entry.InternalAddress() {
			reply := c.witnessed(now, ask.Question)
			c.sendAsks(now, c.requester.Replied(now, ask.Question.Pool, ask, reply))
			continue
		}
		c.entry.background(func() { c.entry.askWitness(ask) })
	}
}

// askWitness asks one member.
func (e *Entry) askWitness(ask shed.Query) {
	ctx, cancel := context.WithTimeout(e.base, shed.DefaultTimeout)
	defer cancel()
	question := node.EncodeWitnessRequest(e.InternalAddress(), ask.Question)
	var reply *nodepb.WitnessReply
	var err error
	if ask.Entry {
		reply, err = e.client.Entry(ask.Member).Witness(ctx, question)
	} else {
		reply, err = e.client.Agent(ask.Member).Witness(ctx, question)
	}
	e.post(witnessReplied{ask: ask, reply: reply, err: err})
}

// witnessReplied brings a member's word.
type witnessReplied struct {
	ask   shed.Query
	reply *nodepb.WitnessReply
	err   error
}

func (m witnessReplied) handle(c *control, now time.Duration) {
	pool := m.ask.Question.Pool
	if m.err != nil {
		c.sendAsks(now, c.requester.Failed(now, pool, m.ask))
		return
	}
	c.sendAsks(now, c.requester.Replied(now, pool, m.ask, node.DecodeWitnessReply(m.reply)))
}

// witnessed answers a question of another entry, or of this one.
func (c *control) witnessed(now time.Duration, q shed.Question) shed.Reply {
	t := c.entry.config.Table()
	if t == nil {
		return shed.Reply{}
	}
	s := shed.LocalState{Version: t.Version, Ranks: node.RanksOf(t)}
	known := c.members(q.Pool)
	s.Agents, s.Entries = known.Agents, known.Entries
	for _, k := range c.calls {
		if k.endpoint.Name == q.Pool && k.mayBeServed() && !slices.Contains(q.Reached, k.servedBy) {
			s.Serving = append(s.Serving, k.tier.Name)
		}
	}
	reply := c.witness.AnswerAsEntry(now, q, s)
	reply.Incarnation = c.entry.incarnation
	return reply
}

// mayBeServed tells whether a call was dispatched, or may be at any moment.
func (k *call) mayBeServed() bool {
	switch k.machine.Phase() {
	case request.PhaseRegistering, request.PhaseStreaming, request.PhaseResolving:
		return true
	default:
		return false
	}
}

// witnessMessage is a question on its way to the control goroutine.
type witnessMessage struct {
	question shed.Question
	reply    chan shed.Reply
}

func (m witnessMessage) handle(c *control, now time.Duration) {
	m.reply <- c.witnessed(now, m.question)
}

// Witness implements nodepb.Entry.
func (s *nodeService) Witness(ctx context.Context, r *nodepb.WitnessRequest) (*nodepb.WitnessReply, error) {
	m := witnessMessage{question: node.DecodeWitnessRequest(r), reply: make(chan shed.Reply, 1)}
	s.entry.post(m)
	select {
	case reply := <-m.reply:
		return node.EncodeWitnessReply(reply), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// admitGrant takes a grant for a call, or gives it back where a promise forbids the start.
func (c *control) admitGrant(now time.Duration, k *call, e request.ReserveReplied) request.ReserveReplied {
	if e.Verdict != request.ReserveGranted {
		return e
	}
	t := c.entry.config.Table()
	if t != nil && c.witness.MayStart(now, k.endpoint.Name, e.Grant.Incarnation, k.tier.Name, node.RanksOf(t)) {
		k.servedBy = e.Grant.Incarnation
		return e
	}
	agent, reservation := e.Grant.Agent, reservationID(k.key, e.Reservation)
	c.entry.background(func() { c.entry.release(agent, reservation) })
	c.placement.BackOff(now, agent, 0)
	return request.ReserveReplied{Reservation: e.Reservation, Verdict: request.ReserveDenied}
}
