package agent

import (
	"context"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/registry"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// newRegistrar returns the agent's registrar, its share of the registry of request
// IDs that callers chose.
func newRegistrar(cfg Config) *registry.Registrar {
	return registry.New(registry.Config{Self: cfg.ID, Horizon: cfg.RecordRetention, Lease: cfg.GrantLease}, cfg.Now())
}

// Register implements nodepb.Agent.
func (s *server) Register(ctx context.Context, req *nodepb.RegisterRequest) (*nodepb.RegisterReply, error) {
	return ask(ctx, s.agent.control, func(reply chan *nodepb.RegisterReply) message {
		return registerMessage{req: req, reply: reply}
	})
}

// registerMessage asks the registrar for the right to start a request ID.
type registerMessage struct {
	req   *nodepb.RegisterRequest
	reply chan *nodepb.RegisterReply
}

var registerVerdicts = map[registry.Verdict]nodepb.RegisterReply_Verdict{
	registry.Granted: nodepb.RegisterReply_GRANTED,
	registry.Held:    nodepb.RegisterReply_HELD,
	registry.Unsure:  nodepb.RegisterReply_UNSURE,
}

func (m registerMessage) apply(c *control) {
	verdict, holder := c.registrar.Register(c.cfg.Now(), registry.Registration{
		Key:     registry.Key{Account: m.req.Account, RequestID: m.req.RequestId},
		Holder:  registry.Holder{Submission: m.req.Submission, Agent: m.req.Agent, Attempt: m.req.Attempt},
		Located: m.req.Located,
	})
	m.reply <- &nodepb.RegisterReply{Verdict: registerVerdicts[verdict], Agent: holder.Agent, Attempt: holder.Attempt}
}

// Locate implements nodepb.Agent. For one RecordRetention after its start the agent
// asks its endpoint too, which may know a run of an earlier incarnation.
func (s *server) Locate(ctx context.Context, req *nodepb.LocateRequest) (*nodepb.LocateReply, error) {
	located, err := ask(ctx, s.agent.control, func(reply chan locateResult) message {
		return locateMessage{req: req, reply: reply}
	})
	if err != nil {
		return nil, err
	}
	reply := located.reply
	if reply.Known && reply.Attempt == 0 {
		return nil, errors.New("the request ID is in use by another client account")
	}
	cfg := s.agent.cfg
	if reply.Known || cfg.Now() >= s.agent.started+cfg.RecordRetention {
		return reply, nil
	}
	for _, id := range located.endpointIDs {
		known, err := s.agent.control.backend.hasRun(ctx, id)
		if err != nil {
			return nil, errors.Wrap(err, "ask endpoint for the request ID")
		}
		if known {
			// A run of another account may have got the ID since, and be the one that is known.
			known, err = ask(ctx, s.agent.control, func(reply chan bool) message {
				return earlierRunMessage{requestID: req.RequestId, endpointID: id, reply: reply}
			})
			if err != nil {
				return nil, err
			}
		}
		reply.Known = reply.Known || known
	}
	return reply, nil
}

// earlierRunMessage asks whether a run that the endpoint knows by an ID can be one of an earlier
// incarnation with the request ID.
type earlierRunMessage struct {
	requestID, endpointID string
	reply                 chan bool
}

func (m earlierRunMessage) apply(c *control) {
	m.reply <- slices.Contains(c.earlierEndpointIDs(m.requestID), m.endpointID)
}

// locateResult is what the agent knows of a request ID.
type locateResult struct {
	reply *nodepb.LocateReply
	// endpointIDs are the IDs by which the endpoint may know a run of an earlier incarnation.
	endpointIDs []string
}

// earlierEndpointIDs returns the IDs by which the endpoint may know a run of an earlier
// incarnation: the caller's ID, unless a run of this incarnation for another account has it, and
// the one with the account.
func (c *control) earlierEndpointIDs(requestID string) []string {
	chosen := node.UnqualifyID(requestID)
	for key, r := range c.runs {
		if r.endpointRunID == chosen && key.RequestID != requestID {
			return []string{requestID}
		}
	}
	return []string{chosen, requestID}
}

// locateMessage asks whether the agent has a run of a request ID.
type locateMessage struct {
	req   *nodepb.LocateRequest
	reply chan locateResult
}

// apply replies with the newest run of the request ID. If there is none, it fences the
// ID, so that from now on only the asking submission may start a run of it here. If the
// run is of another account, the reply is Known without an attempt.
func (m locateMessage) apply(c *control) {
	key, state, known := c.machine.NewestAttempt(m.req.RequestId)
	if !known {
		id := registry.Key{Account: m.req.Account, RequestID: m.req.RequestId}
		c.registrar.Fence(c.cfg.Now(), id, m.req.Submission)
		state = endpoint.StateUnknown
	}
	reply := &nodepb.LocateReply{Known: known, Attempt: key.Attempt, State: states[state]}
	if r := c.runs[key]; r != nil && r.header.Account != m.req.Account {
		reply = &nodepb.LocateReply{Known: true}
	}
	m.reply <- locateResult{reply: reply, endpointIDs: c.earlierEndpointIDs(m.req.RequestId)}
}

// startRefusal returns why a dispatch must not start here even if its grant is valid;
// nil = it may start.
func (c *control) startRefusal(h *nodepb.DispatchHeader) *nodepb.Refusal {
	id := registry.Key{Account: h.Account, RequestID: h.RequestId}
	if !c.registrar.MayStart(c.cfg.Now(), id, h.Submission) {
		return &nodepb.Refusal{
			Outcome: nodepb.Refusal_NOT_RUN, Status: http.StatusConflict,
			Reason: "another entry has the request ID",
		}
	}
	return c.floorRefusal(h)
}

// refuseForbidden refuses a dispatch that must not start here, and voids its grant.
// It returns false if the dispatch may start.
func (m dispatchMessage) refuseForbidden(c *control, key endpoint.AttemptKey) bool {
	refusal := c.startRefusal(m.header)
	if refusal == nil {
		return false
	}
	c.step(endpoint.Resolve{Attempt: key, Grant: endpoint.GrantID(m.header.GrantId), Incarnation: m.header.Incarnation})
	c.cfg.Log.Info().Str("request_id", key.RequestID).Uint32("attempt", key.Attempt).
		Str("reason", refusal.Reason).Msg("dispatch_refused")
	m.reply <- dispatchResult{refusal: refusal}
	return true
}
