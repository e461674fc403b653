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

// memberPermit allows shedding under permits that the requester obtains from the
// members of the pool.
type memberPermit struct {
	control *control
	lowest  lowestTierPermit
}

// MayShed implements ShedPermit. The least urgent tier needs no permit.
func (p memberPermit) MayShed(now time.Duration, pool, tier string) bool {
	t := p.lowest.table()
	if t == nil {
		return false
	}
	if p.lowest.MayShed(now, pool, tier) {
		return true
	}
	return p.control.requester.MayShed(now, pool, tier, t.Version, node.RanksOf(t))
}

// newWitness returns the entry's witness for permits to shed. Requests of an earlier
// incarnation may still be in service until the longest deadline has passed.
func newWitness(e *Entry) *shed.Witness {
	cfg := shed.WitnessConfig{MaxLease: shed.DefaultLease, Hold: e.config.StartHold}
	if cfg.Hold > 0 {
		cfg.RestartWindow = e.config.MaxDeadline
	}
	return shed.NewWitness(cfg, e.now())
}

// tickPermits advances the rounds in which permits are obtained.
func (c *control) tickPermits(now time.Duration) {
	if t := c.entry.config.Table(); t != nil {
		c.sendQueries(now, c.requester.Tick(now, t.Version, c.members))
	}
}

// members returns a pool's agents and all entries, including this one.
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

// sendQueries sends queries to members of a pool. It answers queries to this entry
// itself and passes the reply to the requester immediately.
func (c *control) sendQueries(now time.Duration, queries []shed.Query) {
	for _, query := range queries {
		if query.Entry && query.Member == c.entry.InternalAddress() {
			reply := c.answerQuestion(now, query.Question)
			c.sendQueries(now, c.requester.Replied(now, query.Question.Pool, query, reply))
			continue
		}
		c.entry.background(func() { c.entry.queryWitness(query) })
	}
}

// queryWitness sends a query to one member and posts the reply.
func (e *Entry) queryWitness(query shed.Query) {
	ctx, cancel := context.WithTimeout(e.baseContext, shed.DefaultTimeout)
	defer cancel()
	req := node.EncodeWitnessRequest(e.InternalAddress(), query.Question)
	var reply *nodepb.WitnessReply
	var err error
	if query.Entry {
		reply, err = e.client.Entry(query.Member).Witness(ctx, req)
	} else {
		reply, err = e.client.Agent(query.Member).Witness(ctx, req)
	}
	e.post(witnessReplied{query: query, reply: reply, err: err})
}

// witnessReplied is a member's reply to a query, or the error of the call.
type witnessReplied struct {
	query shed.Query
	reply *nodepb.WitnessReply
	err   error
}

func (m witnessReplied) handle(c *control, now time.Duration) {
	pool := m.query.Question.Pool
	if m.err != nil {
		c.sendQueries(now, c.requester.Failed(now, pool, m.query))
		return
	}
	c.sendQueries(now, c.requester.Replied(now, pool, m.query, node.DecodeWitnessReply(m.reply)))
}

// answerQuestion answers a witness question of another entry or of this one.
func (c *control) answerQuestion(now time.Duration, q shed.Question) shed.Reply {
	t := c.entry.config.Table()
	if t == nil {
		return shed.Reply{}
	}
	s := shed.LocalState{Version: t.Version, Ranks: node.RanksOf(t)}
	known := c.members(q.Pool)
	s.Agents, s.Entries = known.Agents, known.Entries
	for _, k := range c.calls {
		if k.endpoint.Name == q.Pool && k.mayBeServed() && !slices.Contains(q.Reached, k.grantIncarnation) {
			s.Serving = append(s.Serving, k.tier.Name)
		}
	}
	reply := c.witness.AnswerAsEntry(now, q, s)
	reply.Incarnation = c.entry.incarnation
	return reply
}

// mayBeServed reports whether a call was dispatched, or may be without another call of
// admitGrant.
func (k *call) mayBeServed() bool {
	switch k.machine.Phase() {
	case request.PhaseRegistering, request.PhaseStreaming, request.PhaseResolving:
		return true
	default:
		return false
	}
}

// witnessQuery passes another entry's question to the control goroutine.
type witnessQuery struct {
	question shed.Question
	reply    chan shed.Reply
}

func (m witnessQuery) handle(c *control, now time.Duration) {
	m.reply <- c.answerQuestion(now, m.question)
}

// Witness implements nodepb.Entry.
func (s *nodeService) Witness(ctx context.Context, r *nodepb.WitnessRequest) (*nodepb.WitnessReply, error) {
	m := witnessQuery{question: node.DecodeWitnessRequest(r), reply: make(chan shed.Reply, 1)}
	s.entry.post(m)
	select {
	case reply := <-m.reply:
		return node.EncodeWitnessReply(reply), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// admitGrant accepts a grant for a call. If a promise of the entry's witness forbids the
// start, it releases the grant and returns the reply as a denial.
func (c *control) admitGrant(now time.Duration, k *call, e request.ReserveReplied) request.ReserveReplied {
	if e.Verdict != request.ReserveGranted {
		return e
	}
	t := c.entry.config.Table()
	if t != nil && c.witness.MayStart(now, k.endpoint.Name, e.Grant.Incarnation, k.tier.Name, node.RanksOf(t)) {
		k.grantIncarnation = e.Grant.Incarnation
		return e
	}
	agent, reservation := e.Grant.Agent, reservationID(k.key, e.Reservation)
	c.entry.background(func() { c.entry.release(agent, reservation) })
	c.placement.BackOff(now, agent, 0)
	return request.ReserveReplied{Reservation: e.Reservation, Verdict: request.ReserveDenied}
}
