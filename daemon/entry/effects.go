package entry

import (
	"context"
	"time"

	"primrosespoke.dev/coord/invariant"
	"primrosespoke.dev/coord/request"
)

// carryOut does what a request's machine asks for. It never blocks.
func (c *control) carryOut(now time.Duration, k *call, effect request.Effect) {
	e := c.entry
	switch effect := effect.(type) {
	case request.Reserve:
		ctx, cancel := context.WithCancel(e.base)
		k.reservations[effect.Reservation] = cancel
		c.placement.AddReserved(effect.Agent, 1)
		ask := e.reserveRequest(k, effect, k.deadline-now)
		e.background(func() { e.reserve(ctx, k.key, effect, ask) })
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
		e.metrics.dispatched(k, now)
		grant := effect.Grant
		c.command(k, c.openStream(k, streamCommand{
			stream: effect.Stream, attempt: effect.Attempt, agent: grant.Agent, dispatch: &grant,
		}))
	case request.Read:
		c.command(k, c.openStream(k, streamCommand{
			stream: effect.Stream, attempt: effect.Attempt, agent: effect.Agent, offset: effect.Offset,
		}))
	case request.Resolve:
		e.background(func() { e.resolve(k, effect) })
	case request.Cancel:
		e.background(func() { e.cancel(k.request.ID, effect) })
	case request.CloseStream:
		k.closeStream()
	case request.SetTimer:
		c.wake(now, k, effect.At)
	default:
		c.finish(now, k, effect)
	}
}

// openStream gives a stream a context of its own, so that it can be closed.
func (c *control) openStream(k *call, s streamCommand) streamCommand {
	s.ctx, s.close = context.WithCancel(c.entry.base)
	k.closeStream = s.close
	return s
}

func (c *control) command(k *call, cmd command) {
	select {
	case k.commands <- cmd:
	default:
		invariant.Check(false, "entry/commands-bounded", "request %s: commands are not taken", k.request.ID)
	}
}

func (c *control) wake(now time.Duration, k *call, at time.Duration) {
	if k.timer != nil {
		k.timer.Stop()
	}
	k.timer = time.AfterFunc(at-now, func() {
		c.entry.post(happened{key: k.key, event: request.TimerFired{}})
	})
}

func (c *control) finish(now time.Duration, k *call, effect request.Effect) {
	if k.timer != nil {
		k.timer.Stop()
	}
	if k.machine != nil {
		c.settle(now, k)
	}
	c.entry.metrics.ended(k, effect)
	c.logEnd(now, k, effect)
	c.command(k, finalCommand{effect: effect})
}
