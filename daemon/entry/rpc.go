package entry

import (
	"context"
	"strconv"
	"time"

	"primrosespoke.dev/coord/placement"
	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	rpcTimeout    = 3 * time.Second // of a call that is answered at once
	releaseTries  = 3               // the grant's lease ends what is left
	cancelTries   = 8               // the agent sees that the entry closed the stream, too
	tryInterval   = 250 * time.Millisecond
	reserveMargin = 500 * time.Millisecond // after the deadline, for the agent's own answer
)

// background runs a call to a peer outside the control goroutine.
func (e *Entry) background(f func()) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		f()
	}()
}

// replied brings what an agent said: an event for a call, and its status.
type replied struct {
	key    uint64
	agent  string
	event  request.Event
	status *nodepb.AgentStatus
	// reservation is set when a Reserve call ended; denied when the agent denied it.
	reservation uint64
	denied      bool
	retryAfter  time.Duration
}

func (m replied) handle(c *control, now time.Duration) {
	if m.status != nil {
		c.placement.UpdateStatus(now, m.agent, statusOf(m.status))
	}
	if m.reservation != 0 {
		c.placement.AddReserved(m.agent, -1)
	}
	if m.denied {
		c.placement.BackOff(now, m.agent, m.retryAfter)
	}
	if k, ok := c.calls[m.key]; ok && m.event != nil {
		if cancel, ok := k.reservations[m.reservation]; ok {
			cancel()
			delete(k.reservations, m.reservation)
		}
		event := m.event
		if reserved, ok := event.(request.ReserveReplied); ok {
			event = c.admitGrant(now, k, reserved)
		}
		c.run(now, step{call: k, event: event})
	}
}

func statusOf(s *nodepb.AgentStatus) placement.Status {
	return placement.Status{
		Incarnation:      s.Incarnation,
		Draining:         s.Draining,
		Running:          int(s.Running),
		Places:           int(s.Places),
		Backlog:          time.Duration(s.BacklogSeconds * float64(time.Second)),
		TokensPerSecond:  s.TokensPerSecond,
		PrefillPerSecond: s.PrefillPerSecond,
	}
}

func reservationID(key, reservation uint64) string {
	return strconv.FormatUint(key, 36) + "-" + strconv.FormatUint(reservation, 36)
}

func (e *Entry) reserveRequest(k *call, effect request.Reserve, left time.Duration) *nodepb.ReserveRequest {
	return &nodepb.ReserveRequest{
		Entry:            e.InternalAddress(),
		EntryIncarnation: e.incarnation,
		ReservationId:    reservationID(k.key, effect.Reservation),
		RequestId:        k.request.ID,
		Attempt:          effect.Attempt,
		Account:          k.account.Name,
		Tier:             k.tier.Name,
		Pool:             k.endpoint.Name,
		PrefixHash:       prefixHash(k),
		PromptTokens:     k.request.PromptTokens,
		MaxTokens:        expectedTokens(k),
		WaitMs:           left.Milliseconds(),
		NonIdempotent:    k.nonIdempotent,
		TableVersion:     e.config.Table().Version,
	}
}

// reserve waits for an agent's answer to a reservation.
func (e *Entry) reserve(ctx context.Context, key uint64, effect request.Reserve, ask *nodepb.ReserveRequest) {
	limit := time.Duration(ask.WaitMs)*time.Millisecond + reserveMargin
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := e.client.Agent(effect.Agent).Reserve(ctx, ask)
	m := replied{key: key, agent: effect.Agent, reservation: effect.Reservation}
	event := request.ReserveReplied{Reservation: effect.Reservation}
	if err != nil {
		m.denied = ctx.Err() == nil // leave an agent out for a while that cannot be reached
		m.event = event
		e.post(m)
		return
	}
	m.status = reply.Status
	m.retryAfter = time.Duration(reply.RetryAfterMs) * time.Millisecond
	switch reply.Verdict {
	case nodepb.ReserveReply_GRANTED:
		event.Verdict = request.ReserveGranted
		event.Grant = request.Grant{
			Agent:       effect.Agent,
			ID:          reply.GrantId,
			Incarnation: reply.Status.GetIncarnation(),
			Lease:       time.Duration(reply.GrantLeaseMs) * time.Millisecond,
		}
	case nodepb.ReserveReply_DENIED:
		event.Verdict = request.ReserveDenied
		m.denied = true
	default:
		event.Verdict = request.ReserveLapsed
	}
	m.event = event
	e.post(m)
}

// release gives back a reservation or its grant.
func (e *Entry) release(agent, reservation string) {
	ask := &nodepb.ReleaseRequest{EntryIncarnation: e.incarnation, ReservationId: reservation}
	e.try(releaseTries, func(ctx context.Context) error {
		reply, err := e.client.Agent(agent).Release(ctx, ask)
		if err == nil && reply.Status != nil {
			e.post(replied{agent: agent, status: reply.Status})
		}
		return err
	})
}

// try repeats a call until it is answered, a number of times at most. It
// outlives the cutting of everything in progress by one call, so that what is
// held at agents is given back at shutdown too.
func (e *Entry) try(times int, f func(ctx context.Context) error) {
	for i := range times {
		ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
		err := f(ctx)
		cancel()
		if err == nil || i == times-1 {
			return
		}
		select {
		case <-time.After(tryInterval << i):
		case <-e.base.Done():
			return
		}
	}
}

var attemptStates = map[nodepb.ResolveReply_State]request.AttemptState{
	nodepb.ResolveReply_NOT_STARTED: request.AttemptNotStarted,
	nodepb.ResolveReply_RUNNING:     request.AttemptRunning,
	nodepb.ResolveReply_ENDED:       request.AttemptEnded,
	nodepb.ResolveReply_CANCELLED:   request.AttemptCancelled,
	nodepb.ResolveReply_UNKNOWN:     request.AttemptUnknown,
}

// resolve asks once what became of an attempt.
func (e *Entry) resolve(k *call, effect request.Resolve) {
	ctx, cancel := context.WithTimeout(e.base, rpcTimeout)
	defer cancel()
	ask := resolveRequest(k.request.ID, effect.Attempt, effect.Grant, effect.Cancel)
	reply, err := e.client.Agent(effect.Grant.Agent).Resolve(ctx, ask)
	event := request.ResolveReplied{Query: effect.Query}
	m := replied{key: k.key, agent: effect.Grant.Agent}
	if err == nil {
		event.State = attemptStates[reply.State]
		m.status = reply.Status
	}
	m.event = event
	e.post(m)
}

// cancel ends an attempt whose caller has gone or whose deadline has passed.
func (e *Entry) cancel(id string, effect request.Cancel) {
	ask := resolveRequest(id, effect.Attempt, effect.Grant, true)
	e.try(cancelTries, func(ctx context.Context) error {
		_, err := e.client.Agent(effect.Grant.Agent).Resolve(ctx, ask)
		return err
	})
}

func resolveRequest(id string, attempt uint32, grant request.Grant, cancel bool) *nodepb.ResolveRequest {
	return &nodepb.ResolveRequest{
		RequestId:   id,
		Attempt:     attempt,
		GrantId:     grant.ID,
		Incarnation: grant.Incarnation,
		Cancel:      cancel,
	}
}
