package entry

import (
	"time"

	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/request"
)

// logEnd writes one line for the end of a call. Prompts and keys are never written.
func (c *control) logEnd(now time.Duration, k *call, effect request.Effect) {
	line := c.entry.config.Log.Info()
	switch effect := effect.(type) {
	case request.Finish:
		event := "answered"
		if effect.CallerGone {
			event = "caller_gone"
		}
		line = line.Str("event", event)
	case request.Refuse:
		line = line.Str("event", "refused").Int("status", effect.Status).
			Str("outcome", string(effect.Outcome)).Str("reason", effect.Reason)
	case request.Abort:
		line = line.Str("event", "answer_cut").Str("outcome", string(effect.Outcome)).Str("reason", effect.Reason)
	}
	c.about(line, k).Int64("took_ms", (now - k.arrived).Milliseconds()).Msg("")
}

// about adds the fields that name a call.
func (c *control) about(line *zerolog.Event, k *call) *zerolog.Event {
	attempt := uint32(0)
	if k.machine != nil {
		attempt = k.machine.Attempt()
		line = line.Str("agent", k.machine.Agent())
	}
	return line.Str("request_id", k.request.ID).Uint32("attempt", attempt).
		Str("account", k.account.Name).Str("tier", k.tier.Name).Str("endpoint", k.endpoint.Name)
}
