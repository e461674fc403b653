package agent

import (
	"context"
	"time"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// server implements nodepb.Agent. Register and Locate are in register.go, Resolve in
// resolve.go, SetDrain in drain.go, Witness in witness.go.
type server struct {
	agent *Agent
}

var _ nodepb.Agent = (*server)(nil)

// minReserveRetryAfter is the least time after which a denied or displaced reservation
// may be tried again.
const minReserveRetryAfter = time.Second

// ask sends a message with a reply channel to the control goroutine and waits for the reply.
func ask[T any](ctx context.Context, c *control, build func(chan T) message) (T, error) {
	reply := make(chan T, 1)
	c.post(build(reply))
	var zero T
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-c.stopped:
		return zero, errStopped
	}
}

// Reserve implements nodepb.Agent. If the caller disconnects, the reservation is released.
func (s *server) Reserve(ctx context.Context, req *nodepb.ReserveRequest) (*nodepb.ReserveReply, error) {
	c := s.agent.control
	key := endpoint.ReservationKey{Incarnation: req.EntryIncarnation, ID: req.ReservationId}
	answer, err := ask(ctx, c, func(reply chan *nodepb.ReserveReply) message {
		return reserveMessage{key: key, req: req, reply: reply}
	})
	if err != nil {
		c.post(releaseMessage{key: key})
		return nil, err
	}
	return answer, nil
}

// reserveMessage asks for a place.
type reserveMessage struct {
	key   endpoint.ReservationKey
	req   *nodepb.ReserveRequest
	reply chan *nodepb.ReserveReply
}

func (m reserveMessage) apply(c *control) {
	row, reason := c.lookUpTier(m.req)
	if reason != "" {
		m.reply <- &nodepb.ReserveReply{
			Verdict: nodepb.ReserveReply_DENIED, Reason: reason, Status: c.status(row.Rank),
		}
		return
	}
	c.waiters[m.key] = append(c.waiters[m.key], m.reply)
	c.reservations[m.key] = m
	c.step(endpoint.Reserve{
		Key:              m.key,
		Attempt:          endpoint.AttemptKey{RequestID: m.req.RequestId, Attempt: m.req.Attempt},
		Account:          m.req.Account,
		Weight:           c.weight(m.req.Account),
		Tier:             row.Name,
		Rank:             row.Rank,
		Preemptible:      row.Preemptible,
		Cost:             c.cost(m.req),
		TimeLeft:         time.Duration(m.req.WaitMs) * time.Millisecond,
		FirstTokenTarget: row.FirstToken,
		Prefill:          c.prefill(m.req),
	})
}

// lookUpTier returns the row of a reservation's tier, or the reason to deny the reservation.
func (c *control) lookUpTier(req *nodepb.ReserveRequest) (table.Tier, string) {
	t := c.cfg.Table()
	if t == nil {
		return table.Tier{}, "no table yet"
	}
	if req.Pool != c.cfg.Pool {
		return table.Tier{}, "unknown pool"
	}
	row, ok := t.Tiers[req.Tier]
	if !ok {
		return table.Tier{}, "unknown tier"
	}
	return row, ""
}

// weight returns the account's relative share within a tier.
func (c *control) weight(account string) float64 {
	t := c.cfg.Table()
	if row, ok := t.Accounts[account]; ok {
		return row.Weight
	}
	return 1
}

var verdicts = map[endpoint.Verdict]nodepb.ReserveReply_Verdict{
	endpoint.Granted:   nodepb.ReserveReply_GRANTED,
	endpoint.Denied:    nodepb.ReserveReply_DENIED,
	endpoint.Expired:   nodepb.ReserveReply_EXPIRED,
	endpoint.Released:  nodepb.ReserveReply_RELEASED,
	endpoint.Displaced: nodepb.ReserveReply_DISPLACED,
}

// answerReservation replies to all calls that wait for a reservation.
func (c *control) answerReservation(e endpoint.Answer) {
	waiters := c.waiters[e.Key]
	reservation, known := c.reservations[e.Key]
	delete(c.waiters, e.Key)
	delete(c.reservations, e.Key)
	if !known {
		return
	}
	row, _ := c.lookUpTier(reservation.req)
	reply := &nodepb.ReserveReply{
		Verdict:      verdicts[e.Verdict],
		GrantId:      string(e.Grant),
		GrantLeaseMs: e.Lease.Milliseconds(),
		Reason:       e.Reason,
		Status:       c.status(row.Rank),
	}
	if e.Verdict == endpoint.Denied || e.Verdict == endpoint.Displaced {
		backlog := time.Duration(reply.Status.BacklogSeconds * float64(time.Second))
		reply.RetryAfterMs = max(minReserveRetryAfter, backlog).Milliseconds()
	}
	if e.Verdict == endpoint.Granted {
		c.metrics.grants.Add(c.ctx, 1, tierAttribute(row.Name))
	}
	for _, w := range waiters {
		w <- reply
	}
}

// Release implements nodepb.Agent.
func (s *server) Release(ctx context.Context, req *nodepb.ReleaseRequest) (*nodepb.ReleaseReply, error) {
	key := endpoint.ReservationKey{Incarnation: req.EntryIncarnation, ID: req.ReservationId}
	return ask(ctx, s.agent.control, func(reply chan *nodepb.ReleaseReply) message {
		return releaseMessage{key: key, reply: reply}
	})
}

// releaseMessage withdraws a reservation or gives back an unused grant.
type releaseMessage struct {
	key   endpoint.ReservationKey
	reply chan *nodepb.ReleaseReply // nil if no reply is wanted
}

func (m releaseMessage) apply(c *control) {
	c.step(endpoint.Release{Key: m.key})
	if m.reply != nil {
		m.reply <- &nodepb.ReleaseReply{Status: c.status(0)}
	}
}
