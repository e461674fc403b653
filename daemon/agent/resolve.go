package agent

import (
	"context"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

var states = map[endpoint.State]nodepb.ResolveReply_State{
	endpoint.StateUnknown:    nodepb.ResolveReply_UNKNOWN,
	endpoint.StateNotStarted: nodepb.ResolveReply_NOT_STARTED,
	endpoint.StateRunning:    nodepb.ResolveReply_RUNNING,
	endpoint.StateEnded:      nodepb.ResolveReply_ENDED,
	endpoint.StateCancelled:  nodepb.ResolveReply_CANCELLED,
}

// Resolve implements nodepb.Agent. If it cancels a run, it replies once the endpoint no
// longer works on the run, or with the state so far when ctx ends.
func (s *server) Resolve(ctx context.Context, req *nodepb.ResolveRequest) (*nodepb.ResolveReply, error) {
	c := s.agent.control
	answer, err := s.askResolve(ctx, req)
	if err != nil {
		return nil, err
	}
	if answer.askEndpoint {
		state := c.backend.resolveOtherIncarnation(ctx, req)
		answer.reply.State = states[state]
		return answer.reply, nil
	}
	if !req.Cancel || answer.reply.State != nodepb.ResolveReply_RUNNING || answer.run == nil {
		return answer.reply, nil
	}
	select {
	case <-answer.run.ended:
	case <-ctx.Done():
		return answer.reply, nil
	}
	again, err := s.askResolve(ctx, req)
	if err != nil {
		return answer.reply, nil
	}
	return again.reply, nil
}

// askResolve sends a resolveMessage and waits for the result.
func (s *server) askResolve(ctx context.Context, req *nodepb.ResolveRequest) (resolveResult, error) {
	return ask(ctx, s.agent.control, func(reply chan resolveResult) message {
		return resolveMessage{req: req, reply: reply}
	})
}

// resolveResult answers a resolveMessage.
type resolveResult struct {
	reply       *nodepb.ResolveReply
	run         *run // nil if no run of the attempt is held
	askEndpoint bool // the attempt is of another incarnation and may be cancelled at the endpoint
}

// resolveMessage asks what became of an attempt.
type resolveMessage struct {
	req   *nodepb.ResolveRequest
	reply chan resolveResult
}

func (m resolveMessage) apply(c *control) {
	key := endpoint.AttemptKey{RequestID: m.req.RequestId, Attempt: m.req.Attempt}
	effects := c.step(endpoint.Resolve{
		Attempt:     key,
		Grant:       endpoint.GrantID(m.req.GrantId),
		Incarnation: m.req.Incarnation,
		Cancel:      m.req.Cancel,
	})
	for _, effect := range effects {
		e, ok := effect.(endpoint.Resolved)
		if !ok {
			continue
		}
		// The endpoint knows runs by request ID alone. While this incarnation has a run of
		// the same request, cancelling another attempt there would cancel this run.
		_, _, hasAttempt := c.machine.NewestAttempt(key.RequestID)
		m.reply <- resolveResult{
			reply:       &nodepb.ResolveReply{State: states[e.State], Status: c.status(0)},
			run:         c.runs[key],
			askEndpoint: e.OtherIncarnation && m.req.Cancel && !hasAttempt,
		}
	}
}
