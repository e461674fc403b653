package entry

import (
	"context"
	"time"

	"primrosespoke.dev/coord/invariant"
	"primrosespoke.dev/coord/request"
)

// execute carries out an effect of a call's state machine. It never blocks.
func (c *control) execute(now time.Duration, k *call, effect request.Effect) {
	e := c.entry
	switch effect := effect.(type) {
	case request.Reserve:
		ctx, cancel := context.WithCancel(e.baseContext)
		k.reservations[effect.Reservation] = cancel
		c.placement.AddReserved(effect.Agent, 1)
		req := e.reserveRequest(k, effect, k.deadline-now)
		e.background(func() { e.reserve(ctx, k.key, effect, req) })
	case request.Release:
		if cancel, ok := k.reservations[effect.Reservation]; ok {
			cancel()
			delete(k.reservations, effect.Reservation)
		}
		e.background(func() { e.release(effect.Agent, reservationID(k.key, effect.Reservation)) })
	case request.Register:
		e.background(func() { e.register(k, effect) })
	case request.Locate:
		e.background(func() { e.locate(k, effect) })
	case request.Dispatch:
		c.placement.RecordPrefixes(effect.Grant.Agent, k.request.Prefixes)
		c.rates.dispatched(now, k.endpoint.Name)
		e.metrics.requestDispatched(k, now)
		grant := effect.Grant
		c.sendCommand(k, c.openStream(k, streamCommand{
			stream: effect.Stream, attempt: effect.Attempt, agent: grant.Agent, dispatch: &grant,
		}))
	case request.Read:
		c.sendCommand(k, c.openStream(k, streamCommand{
			stream: effect.Stream, attempt: effect.Attempt, agent: effect.Agent, offset: effect.Offset,
		}))
	case request.Resolve:
		e.background(func() { e.resolve(k, effect) })
	case request.Cancel:
		e.background(func() { e.cancel(k.request.ID, effect) })
	case request.CloseStream:
		k.closeStream()
	case request.SetTimer:
		c.setTimer(now, k, effect.At)
	default:
		c.finish(now, k, effect)
	}
}

// openStream gives a stream its own context, so that the control goroutine can close it.
func (c *control) openStream(k *call, s streamCommand) streamCommand {
	s.ctx, s.close = context.WithCancel(c.entry.baseContext)
	k.closeStream = s.close
	return s
}

// sendCommand sends a command to the goroutine of the caller's connection. The channel
// has room for all commands that can be outstanding.
func (c *control) sendCommand(k *call, cmd command) {
	select {
	case k.commands <- cmd:
	default:
		invariant.Check(false, "entry/commands-bounded", "request %s: command buffer is full", k.request.ID)
	}
}

// setTimer sets the call's only timer, in place of an earlier one.
func (c *control) setTimer(now time.Duration, k *call, at time.Duration) {
	if k.timer != nil {
		k.timer.Stop()
	}
	k.timer = time.AfterFunc(at-now, func() {
		c.entry.post(callEvent{key: k.key, event: request.TimerFired{}})
	})
}

// finish settles the quota, records the end of a call and sends the final command.
func (c *control) finish(now time.Duration, k *call, effect request.Effect) {
	if k.timer != nil {
		k.timer.Stop()
	}
	if k.machine != nil {
		c.refundUnused(now, k)
	}
	c.entry.metrics.requestEnded(k, effect)
	c.logEnd(now, k, effect)
	c.sendCommand(k, finalCommand{effect: effect})
}
