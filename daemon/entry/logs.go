package entry

import (
	"time"

	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/request"
)

// logEnd logs the end of a call. Prompts and keys are never logged.
func (c *control) logEnd(now time.Duration, k *call, effect request.Effect) {
	line := c.entry.config.Log.Info()
	switch effect := effect.(type) {
	case request.Finish:
		event := "request_answered"
		if effect.CallerGone {
			event = "caller_gone"
		}
		line = line.Str("event", event)
	case request.Refuse:
		line = line.Str("event", "request_refused").Int("status", effect.Status).
			Str("outcome", string(effect.Outcome)).Str("reason", effect.Reason)
	case request.Abort:
		line = line.Str("event", "answer_cut").Str("outcome", string(effect.Outcome)).Str("reason", effect.Reason)
	}
	c.addCallFields(line, k).Int64("took_ms", (now - k.arrived).Milliseconds()).Msg("")
}

// addCallFields adds the fields that identify a call.
func (c *control) addCallFields(line *zerolog.Event, k *call) *zerolog.Event {
	attempt := uint32(0)
	if k.machine != nil {
		attempt = k.machine.Attempt()
		line = line.Str("agent", k.machine.Agent())
	}
	return line.Str("request_id", k.request.ID).Uint32("attempt", attempt).
		Str("account", k.account.Name).Str("tier", k.tier.Name).Str("endpoint", k.endpoint.Name)
}
