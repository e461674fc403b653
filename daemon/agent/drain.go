package agent

import (
	"context"
	"time"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// SetDrain implements nodepb.Agent.
func (s *server) SetDrain(ctx context.Context, req *nodepb.DrainRequest) (*nodepb.DrainReply, error) {
	return ask(ctx, s.agent.control, func(reply chan *nodepb.DrainReply) message {
		return drainMessage{req: req, reply: reply}
	})
}

type drainMessage struct {
	req   *nodepb.DrainRequest
	reply chan *nodepb.DrainReply
}

func (m drainMessage) apply(c *control) {
	switch m.req.Action {
	case nodepb.DrainRequest_START:
		timeout := time.Duration(m.req.TimeoutMs) * time.Millisecond
		c.step(endpoint.Drain{Action: endpoint.DrainStart, Timeout: timeout})
	case nodepb.DrainRequest_RECALL:
		if len(c.stopping) == 0 {
			c.step(endpoint.Drain{Action: endpoint.DrainRecall})
		}
	case nodepb.DrainRequest_FORCE:
		c.step(endpoint.Drain{Action: endpoint.DrainForce})
	}
	m.reply <- &nodepb.DrainReply{State: c.drainState(), Running: uint32(c.machine.Status().Running)}
}

func (c *control) drainState() string {
	switch {
	case !c.machine.Status().Draining:
		return "serving"
	case c.machine.Busy():
		return "draining"
	default:
		return "drained"
	}
}

// stopMessage drains for good; done is closed when nothing runs and nobody reads.
type stopMessage struct{ done chan struct{} }

func (m stopMessage) apply(c *control) {
	c.stopping = append(c.stopping, m.done)
	c.step(endpoint.Drain{Action: endpoint.DrainStart})
}

func (c *control) reportStopped() {
	if len(c.stopping) == 0 || c.readers > 0 || c.machine.Busy() {
		return
	}
	for _, done := range c.stopping {
		close(done)
	}
	c.stopping = nil
}

// checkMembers drains when the instance list says that this instance is leaving,
// and recalls that drain when the list takes it back.
func (c *control) checkMembers() {
	self, listed := c.cfg.Members().ByAddress(c.cfg.Address)
	leaving := listed && self.State == membership.StateLeaving
	switch {
	case leaving && !c.drainedByList:
		c.drainedByList = true
		c.cfg.Log.Info().Msg("leaving by the instance list")
		c.step(endpoint.Drain{Action: endpoint.DrainStart})
	case listed && !leaving && c.drainedByList:
		c.drainedByList = false
		if len(c.stopping) == 0 {
			c.step(endpoint.Drain{Action: endpoint.DrainRecall})
		}
	}
}
