package agent

import (
	"context"
	"time"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// SetDrain implements nodepb.Agent. A stopping agent ignores a recall.
func (s *server) SetDrain(ctx context.Context, req *nodepb.DrainRequest) (*nodepb.DrainReply, error) {
	return ask(ctx, s.agent.control, func(reply chan *nodepb.DrainReply) message {
		return drainMessage{req: req, reply: reply}
	})
}

// drainMessage is an operator's order to start, recall or force a drain.
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

// drainState returns the state that a DrainReply carries.
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

// stopMessage starts a drain that cannot be recalled. done is closed when no run or
// open grant is left and no answer is being read.
type stopMessage struct{ done chan struct{} }

func (m stopMessage) apply(c *control) {
	c.stopping = append(c.stopping, m.done)
	c.step(endpoint.Drain{Action: endpoint.DrainStart})
}

// reportStopped closes the channels of all stopMessages once the drain is complete.
func (c *control) reportStopped() {
	if len(c.stopping) == 0 || c.readers > 0 || c.machine.Busy() {
		return
	}
	for _, done := range c.stopping {
		close(done)
	}
	c.stopping = nil
}

// checkMembers starts a drain when the instance list has this instance as leaving,
// and recalls that drain when the list has it in service again.
func (c *control) checkMembers() {
	self, listed := c.cfg.Members().ByAddress(c.cfg.Address)
	leaving := listed && self.State == membership.StateLeaving
	switch {
	case leaving && !c.drainedByList:
		c.drainedByList = true
		c.cfg.Log.Info().Msg("instance_listed_leaving")
		c.step(endpoint.Drain{Action: endpoint.DrainStart})
	case listed && !leaving && c.drainedByList:
		c.drainedByList = false
		if len(c.stopping) == 0 {
			c.step(endpoint.Drain{Action: endpoint.DrainRecall})
		}
	}
}
