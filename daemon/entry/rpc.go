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
	rpcTimeout        = 3 * time.Second        // of calls that peers answer without waiting for anything
	maxReleaseCalls   = 3                      // after that the grant's lease expires anyway
	maxCancelCalls    = 8                      // the agent also sees that the entry closed the stream
	callRetryInterval = 250 * time.Millisecond // doubled after each call
	reserveMargin     = 500 * time.Millisecond // beyond the deadline, to receive the agent's reply at it
)

// background runs a call to a peer in its own goroutine, since the control goroutine
// must not block. Run waits for all of them.
func (e *Entry) background(f func()) {
	e.peerCalls.Add(1)
	go func() {
		defer e.peerCalls.Done()
		f()
	}()
}

// agentReplied is an agent's reply: an event for a call and the agent's status, either
// of which may be missing.
type agentReplied struct {
	key    uint64
	agent  string
	event  request.Event
	status *nodepb.AgentStatus
	// reservation is set when a Reserve call has ended, and denied when the agent denied
	// it or could not be reached.
	reservation uint64
	denied      bool
	retryAfter  time.Duration
}

func (m agentReplied) handle(c *control, now time.Duration) {
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

// reservationID returns the ID of a call's reservation, unique within this incarnation of
// the entry.
func reservationID(key, reservation uint64) string {
	return strconv.FormatUint(key, 36) + "-" + strconv.FormatUint(reservation, 36)
}

func (e *Entry) reserveRequest(k *call, effect request.Reserve, timeLeft time.Duration) *nodepb.ReserveRequest {
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
		WaitMs:           timeLeft.Milliseconds(),
		NonIdempotent:    k.nonIdempotent,
		TableVersion:     e.config.Table().Version,
	}
}

// reserve requests a reservation from an agent and waits for the reply, until shortly
// after the call's deadline.
func (e *Entry) reserve(ctx context.Context, key uint64, effect request.Reserve, req *nodepb.ReserveRequest) {
	limit := time.Duration(req.WaitMs)*time.Millisecond + reserveMargin
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := e.client.Agent(effect.Agent).Reserve(ctx, req)
	m := agentReplied{key: key, agent: effect.Agent, reservation: effect.Reservation}
	event := request.ReserveReplied{Reservation: effect.Reservation}
	if err != nil {
		m.denied = ctx.Err() == nil // an unreachable agent gets no reservations for a while
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

// release cancels a reservation or gives its grant back to the agent.
func (e *Entry) release(agent, reservation string) {
	req := &nodepb.ReleaseRequest{EntryIncarnation: e.incarnation, ReservationId: reservation}
	e.callUntilAnswered(maxReleaseCalls, func(ctx context.Context) error {
		reply, err := e.client.Agent(agent).Release(ctx, req)
		if err == nil && reply.Status != nil {
			e.post(agentReplied{agent: agent, status: reply.Status})
		}
		return err
	})
}

// callUntilAnswered repeats a call until it succeeds, at most the given number of times.
// A call in progress continues after the base context has ended, and at least one is
// made, so that reservations at agents are released at shutdown too.
func (e *Entry) callUntilAnswered(times int, f func(ctx context.Context) error) {
	for i := range times {
		ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
		err := f(ctx)
		cancel()
		if err == nil || i == times-1 {
			return
		}
		select {
		case <-time.After(callRetryInterval << i):
		case <-e.baseContext.Done():
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

// resolve asks an agent once for the state of an attempt.
func (e *Entry) resolve(k *call, effect request.Resolve) {
	ctx, cancel := context.WithTimeout(e.baseContext, rpcTimeout)
	defer cancel()
	req := resolveRequest(k.request.ID, effect.Attempt, effect.Grant, effect.Cancel)
	reply, err := e.client.Agent(effect.Grant.Agent).Resolve(ctx, req)
	event := request.ResolveReplied{Query: effect.Query}
	m := agentReplied{key: k.key, agent: effect.Grant.Agent}
	if err == nil {
		event.State = attemptStates[reply.State]
		m.status = reply.Status
	}
	m.event = event
	e.post(m)
}

// cancel cancels an attempt whose caller disconnected or whose deadline has passed.
func (e *Entry) cancel(id string, effect request.Cancel) {
	req := resolveRequest(id, effect.Attempt, effect.Grant, true)
	e.callUntilAnswered(maxCancelCalls, func(ctx context.Context) error {
		_, err := e.client.Agent(effect.Grant.Agent).Resolve(ctx, req)
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
