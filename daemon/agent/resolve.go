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

// Resolve implements nodepb.Agent. With Cancel it answers once the endpoint no
// longer works on the run, or when the caller's time is up.
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

func (s *server) askResolve(ctx context.Context, req *nodepb.ResolveRequest) (resolveResult, error) {
	return ask(ctx, s.agent.control, func(reply chan resolveResult) message {
		return resolveMessage{req: req, reply: reply}
	})
}

type resolveResult struct {
	reply       *nodepb.ResolveReply
	run         *run // the run, if it is held
	askEndpoint bool // the endpoint must be asked
}

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
		// The endpoint knows runs by request ID alone: while this incarnation has a run
		// of the same request, another attempt cannot be cancelled there.
		_, _, here := c.machine.NewestAttempt(key.RequestID)
		m.reply <- resolveResult{
			reply:       &nodepb.ResolveReply{State: states[e.State], Status: c.status(0)},
			run:         c.runs[key],
			askEndpoint: e.OtherIncarnation && m.req.Cancel && !here,
		}
	}
}
