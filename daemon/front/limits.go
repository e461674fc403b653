package front

import (
	"time"

	"primrosespoke.dev/coord/origin"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/coord/sendlimit"
)

const (
	// maxReportedLimits is how many limits of endpoints a report carries.
	maxReportedLimits = 32
	// minHeardTime is how long an entry counts as heard after a report, if its reports are frequent.
	minHeardTime = time.Second
)

// Reasons why a placement is not carried out.
const (
	reasonLimitNamed   = "endpoint_names_limit"
	reasonPermitLapsed = "permit_lapsed"
	reasonResting      = "endpoint_rests"
)

// reportLimit passes on what an answer says about the limit on requests to its endpoint.
func (d *delivery) reportLimit(p scheduler.Placement, head Head) {
	if head.UnusableLimit != "" {
		d.front.log.Warn().Str("request_id", d.call.ID).Str("endpoint", p.Endpoint).Str("limit", head.UnusableLimit).Msg("endpoint_limit_unusable")
	}
	ends := !head.HasLimit && !head.Misdirected && head.RequestID != "" && d.front.isLimited(p.Endpoint)
	if head.Rest > 0 {
		d.front.send(restMessage{endpoint: p.Endpoint, born: p.Born, lasts: head.Rest, requestID: d.call.ID})
	}
	if head.HasLimit || ends {
		d.front.send(limitMessage{endpoint: p.Endpoint, born: p.Born, limit: head.Limit, limited: head.HasLimit, sentAt: d.attemptSentAt, requestID: d.call.ID})
	}
}

// limitView is the endpoints that may not get requests freely, as the request goroutines see it.
type limitView struct {
	limited map[string]bool
	resting map[string]time.Duration // until when
}

// isLimited reports whether an endpoint is known to name a limit.
func (f *Front) isLimited(endpoint string) bool {
	return f.limits.Load().limited[endpoint]
}

// restMessage reports that an endpoint that turned a request away wants nothing for a time.
type restMessage struct {
	endpoint  string
	born      int64
	lasts     time.Duration
	requestID string
}

func (m restMessage) apply(c *control) {
	if c.sendLimits.Rest(c.front.now(), m.endpoint, m.born, m.lasts) {
		c.front.log.Info().Str("endpoint", m.endpoint).Str("request_id", m.requestID).Int64("lasts_ms", m.lasts.Milliseconds()).Msg("endpoint_rests")
		c.front.metrics.endpointRests()
	}
	c.publishLimits()
}

// checkLimit returns a reason not to send a placed request: the endpoint has named a limit or
// asked for rest since, or the permit has lapsed; empty = it may be sent.
func (f *Front) checkLimit(p scheduler.Placement) string {
	switch {
	case f.now() < f.limits.Load().resting[p.Endpoint]:
		return reasonResting
	case !f.isLimited(p.Endpoint):
		return ""
	case p.SendBefore == 0:
		return reasonLimitNamed
	case f.now() >= p.SendBefore:
		return reasonPermitLapsed
	}
	return ""
}

// limitMessage reports that an answer named a limit on the requests to its endpoint, or that
// it named none although one was known.
type limitMessage struct {
	endpoint  string
	born      int64
	limit     float64 // requests per second
	limited   bool
	sentAt    time.Duration // when the request of the answer was sent
	requestID string
}

func (m limitMessage) apply(c *control) {
	now := c.front.now()
	changed := false
	if m.limited {
		changed = c.sendLimits.Named(now, m.endpoint, m.born, m.limit)
	} else {
		changed = c.sendLimits.NotNamed(m.sentAt, m.endpoint, m.born)
	}
	if changed {
		c.limitsChanged([]sendlimit.State{{Endpoint: m.endpoint, Born: m.born, Limited: m.limited, Rate: m.limit}}, "request_id", m.requestID)
	}
}

// limitsChanged logs limits that were learned or ended, with their source, and publishes the set.
func (c *control) limitsChanged(states []sendlimit.State, source, name string) {
	for _, s := range states {
		c.front.log.Info().Str("endpoint", s.Endpoint).Str(source, name).Bool("limited", s.Limited).Float64("limit", s.Rate).
			Int64("age_ms", s.Age.Milliseconds()).Str("home", c.sendLimits.Home(s.Endpoint)).Msg("endpoint_limit_changed")
		c.front.metrics.limitChanged(s.Limited)
	}
	if len(states) > 0 {
		c.publishLimits()
	}
}

// publishLimits makes the endpoints that name a limit or rest visible to the request goroutines.
func (c *control) publishLimits() {
	view := limitView{limited: map[string]bool{}, resting: c.sendLimits.Resting(c.front.now())}
	for _, id := range c.sendLimits.Limited() {
		view.limited[id] = true
	}
	c.front.limits.Store(&view)
}

// retainLimits forgets the limits of endpoints that are gone.
func (c *control) retainLimits() {
	c.sendLimits.Retain(func(endpoint string) (int64, bool) {
		n, ok := c.born[endpoint]
		return n, ok
	})
	c.publishLimits()
}

// mergeLimits adds the limits that another entry reports, of the endpoints that are listed.
func (c *control) mergeLimits(now time.Duration, from string, encoded []limitState) {
	var states []sendlimit.State
	for _, e := range encoded {
		if _, listed := c.born[e.Endpoint]; listed {
			states = append(states, e.decode())
		}
	}
	c.limitsChanged(c.sendLimits.Merge(now, states), "reported_by", from)
}

// updateHeard tells which of the other entries are heard, among which the homes of limits are chosen.
func (c *control) updateHeard(now time.Duration) {
	c.sendLimits.SetEntries(now, c.members.heard(now), c.members.count())
	if c.front.config.Places {
		c.places.SetEntries(c.members.givingPlaces(now))
	}
}

// stepLimits asks for the permits that are needed, and grants those that this entry is asked for.
func (c *control) stepLimits(now time.Duration) {
	for _, d := range c.scheduler.RestrictedDemand(now, c.sendLimits.Limited()) {
		c.sendLimits.SetDemand(d.Endpoint, d.Requests, d.Urgency)
	}
	effects := c.sendLimits.Step(now)
	for _, a := range effects.Asks {
		c.report(directReport{
			From: c.front.config.ID, Ask: &permitAsk{Limit: encodeLimit(a.State), Requests: a.Requests, Value: a.Value, Received: a.Received},
		}, []string{a.To})
	}
	for _, g := range effects.Grants {
		c.report(directReport{From: c.front.config.ID, Grant: &permitGrant{Endpoint: g.Endpoint, Born: g.Born, Permits: g.Permits}}, []string{g.To})
		c.front.metrics.permitsGranted(g.Permits)
		c.front.log.Debug().Str("endpoint", g.Endpoint).Str("to", g.To).Int("permits", g.Permits).Msg("permits_granted")
	}
}

// releaseLimitMessage lets go of the limit of an endpoint for an operator. The other entries learn
// it from the reports. The next answer that names a limit sets it again.
type releaseLimitMessage struct {
	endpoint string
	reply    chan<- bool
}

func (m releaseLimitMessage) apply(c *control) {
	s := sendlimit.State{Endpoint: m.endpoint, Born: c.born[m.endpoint]}
	ended := c.sendLimits.NotNamed(c.front.now(), s.Endpoint, s.Born)
	if ended {
		c.limitsChanged([]sendlimit.State{s}, "released_by", "operator")
	}
	m.reply <- ended
}

// limitState is a limit in a report.
type limitState struct {
	Endpoint string  `cbor:"1,keyasint"`
	Born     int64   `cbor:"2,keyasint"`
	Limited  bool    `cbor:"3,keyasint,omitempty"`
	Rate     float64 `cbor:"4,keyasint,omitempty"`
	AgeMS    int64   `cbor:"5,keyasint"`
}

func encodeLimit(s sendlimit.State) limitState {
	return limitState{Endpoint: s.Endpoint, Born: s.Born, Limited: s.Limited, Rate: s.Rate, AgeMS: s.Age.Milliseconds()}
}

// usable reports whether the limit is a rate.
func (s limitState) usable() bool {
	return isFinite(s.Rate) && s.Rate >= 0
}

func (s limitState) decode() sendlimit.State {
	return sendlimit.State{Endpoint: s.Endpoint, Born: s.Born, Limited: s.Limited, Rate: s.Rate, Age: age(s.AgeMS)}
}

func encodeLimits(states []sendlimit.State) []limitState {
	var encoded []limitState
	for _, s := range states {
		encoded = append(encoded, encodeLimit(s))
	}
	return encoded
}

// directReport is a datagram to one entry, about the permits of one endpoint, about places or about
// streams that began at the sender. Its keys differ from those of a
// report, by which the two are told apart.
type directReport struct {
	From  string        `cbor:"1,keyasint"`
	Ask   *permitAsk    `cbor:"20,keyasint,omitempty"`
	Grant *permitGrant  `cbor:"21,keyasint,omitempty"`
	Begun []begunStream `cbor:"22,keyasint,omitempty"`
	// Statuses go to the home of the endpoints, Places come from it.
	Statuses []placeStatus `cbor:"23,keyasint,omitempty"`
	Places   []placeAnswer `cbor:"24,keyasint,omitempty"`
}

// isDirect reports whether a datagram was one.
func (r directReport) isDirect() bool {
	return r.Ask != nil || r.Grant != nil || r.Begun != nil || r.Statuses != nil || r.Places != nil
}

type permitAsk struct {
	Limit    limitState `cbor:"1,keyasint"`
	Requests int        `cbor:"2,keyasint"`
	Value    float64    `cbor:"3,keyasint"`
	Received int        `cbor:"4,keyasint"`
}

func (a permitAsk) usable() bool {
	return a.Limit.usable() && isFinite(a.Value)
}

type permitGrant struct {
	Endpoint string `cbor:"1,keyasint"`
	Born     int64  `cbor:"2,keyasint"`
	Permits  int    `cbor:"3,keyasint"`
}

// directMessage delivers a datagram to this entry alone.
type directMessage struct{ report directReport }

func (m directMessage) apply(c *control) {
	now := c.front.now()
	for _, b := range m.report.Begun {
		c.origins.Learn(now, origin.Origin{Key: origin.Key(b.Key), Service: b.Service, Version: b.Version, Ambiguous: b.Ambiguous})
	}
	c.receivePlaces(now, m.report)
	if a := m.report.Ask; a != nil {
		if _, listed := c.born[a.Limit.Endpoint]; !listed {
			return
		}
		c.limitsChanged(c.sendLimits.ReceiveAsk(now, m.report.From, sendlimit.Ask{
			State: a.Limit.decode(), Requests: clampCount(a.Requests), Value: a.Value, Received: clampCount(a.Received),
		}), "asked_by", m.report.From)
	}
	if g := m.report.Grant; g != nil {
		c.sendLimits.ReceiveGrant(now, sendlimit.Grant{Endpoint: g.Endpoint, Born: g.Born, Permits: g.Permits})
	}
}
