package front

import (
	"time"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/coord/staleness"
)

// endpointView is what requests are checked against just before they are sent. The control
// goroutine publishes it as one immutable copy.
type endpointView struct {
	usable map[string]directory.Endpoint // that may get requests, by ID
	known  bool                          // the list was read at least once
	asOf   time.Duration                 // time up to which the list is complete
	// storeOut is set if the list may be used whatever its age, since no entry can read it.
	storeOut bool
}

func (f *Front) maxListAge() time.Duration {
	return shareOf(f.config.LeaveWithin, listMaxAgeShare)
}

func (f *Front) listRefreshAge() time.Duration {
	return shareOf(f.config.LeaveWithin, listRefreshShare)
}

func (f *Front) maxListWait() time.Duration {
	return shareOf(f.config.LeaveWithin, listWaitShare)
}

// listAge returns how long ago the list of endpoints that placements are based on was known
// to be complete; 0 if it was never read.
func (f *Front) listAge() time.Duration {
	view := f.endpointView.Load()
	if !view.known {
		return 0
	}
	return f.now() - view.asOf
}

// listOutOfDate reports whether requests must not be sent by the list for its age.
func (f *Front) listOutOfDate() bool {
	return !f.endpointView.Load().storeOut && f.listAge() > f.maxListAge()
}

// Reasons why a placement is not carried out.
const (
	reasonEndpointLeft = "endpoint left"
	reasonListOld      = "endpoint list out of date"
)

// checkEndpoint returns a reason not to send a request to the endpoint at which it was placed
// earlier; empty = it may be sent.
func (f *Front) checkEndpoint(p scheduler.Placement) string {
	if f.listOutOfDate() {
		return reasonListOld
	}
	e, ok := f.endpointView.Load().usable[p.Endpoint]
	if !ok || e.Address != p.Address || e.Born != p.Born || e.Version != p.Version {
		return reasonEndpointLeft
	}
	return ""
}

// publishEndpoints makes the list of endpoints visible to the request goroutines.
func (c *control) publishEndpoints(now time.Duration) {
	age, known := c.list.Age(now)
	c.front.endpointView.Store(&endpointView{
		usable: c.usable, known: known, asOf: now - age, storeOut: c.listVerdict == staleness.SourceOut,
	})
}

// maxFallbacks is how many other entries are asked for a topic if the store can't be read.
const maxFallbacks = 2

// updateFallbacks names the entries with the most recent copies of a topic, which are asked if
// the store can't be read.
func (c *control) updateFallbacks(now time.Duration) {
	for _, topic := range []Topic{TopicEndpoints, TopicConfiguration} {
		var addresses []string
		for _, name := range c.source(topic).Freshest(now, c.front.refreshAge(topic), maxFallbacks) {
			if s := c.members.all[name]; s != nil {
				addresses = append(addresses, s.Address)
			}
		}
		c.front.relay.setFallbacks(topic, addresses)
	}
}

// assessList decides whether requests may be placed by the list of endpoints, and logs when
// that changes.
func (c *control) assessList(now time.Duration) staleness.Verdict {
	verdict, readBy := c.list.Assess(now)
	if verdict == c.listVerdict {
		return verdict
	}
	age, _ := c.list.Age(now)
	c.front.log.Info().Str("verdict", verdictNames[verdict]).Str("before", verdictNames[c.listVerdict]).
		Int64("list_age_ms", age.Milliseconds()).Int64("before_for_ms", (now-c.listSince).Milliseconds()).Str("read_by", readBy).
		Msg("endpoint_list_assessed")
	c.listVerdict, c.listSince = verdict, now
	c.front.metrics.listAssessed(verdictNames[verdict])
	c.publishEndpoints(now)
	return verdict
}

// verdictNames are the values of the log field verdict.
var verdictNames = map[staleness.Verdict]string{
	staleness.Reliable: "reliable", staleness.SourceOut: "store_out", staleness.Unreliable: "unreliable",
}
