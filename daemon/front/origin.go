package front

import (
	"context"
	"iter"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/origin"
	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	// originHomes is how many other entries are told which version began a stream.
	originHomes = 2
	// originAsked is how many entries are asked for it. It exceeds originHomes, since the one
	// that began the stream is none of its homes, and another one may have been left out.
	originAsked = 4
	// originAskTimeout limits the time to ask them.
	originAskTimeout = 200 * time.Millisecond
	// streamLifetimeTimeouts, multiplied by a route's timeout, is how long a caller may try to
	// get the whole of one stream.
	streamLifetimeTimeouts = 2
)

const (
	reasonOriginUnknown   = "software version of the stream unknown"
	reasonOriginAmbiguous = "software version of the stream ambiguous"
)

// streamLifetime returns how long ago the first event of a stream of the route may have come.
func streamLifetime(route *routing.Route) time.Duration {
	if route.Timeout > 0 {
		return streamLifetimeTimeouts * route.Timeout
	}
	return streamLifetimeTimeouts * defaultTimeLimit
}

// findOrigin finds out which software version began the stream that the caller takes up again.
// It refuses the request if there is no proof.
func (d *delivery) findOrigin() outcome {
	if d.call.LastEvent == "" || d.admission.Route.Kind != routing.Streaming {
		return ""
	}
	begun := d.front.now()
	found, source := d.lookUpOrigin()
	d.front.metrics.streamsTakenUp.Add(d.front.baseContext, 1, metric.WithAttributes(attribute.String("origin", source)))
	d.front.log.Info().Str("request_id", d.call.ID).Str("resumes", d.call.Resumes).Str("last_event", d.call.LastEvent).
		Str("origin", source).Str("version", found.Version).Int64("found_after_ms", (d.front.now()-begun).Milliseconds()).
		Int64("list_age_ms", d.front.listAge().Milliseconds()).Msg("stream_taken_up")
	switch {
	case found.Ambiguous:
		return d.refuseUnavailable(reasonOriginAmbiguous, staleRetryAfter)
	case found.Version == "":
		return d.refuseUnavailable(reasonOriginUnknown, staleRetryAfter)
	}
	d.streamVersion = found.Version
	if d.admission.Route.Allows(found.Service) {
		d.service = found.Service // of a route with several services, the one that began it
	}
	return ""
}

// lookUpOrigin asks this entry, the homes of the attempt, the history of the list, and then the
// store. It also returns who knew it.
func (d *delivery) lookUpOrigin() (origin.Origin, string) {
	if d.call.Resumes != "" {
		key := origin.KeyOf(d.admission.AccountName(), d.call.Resumes)
		reply := make(chan originKnown, 1)
		d.front.send(originMessage{key: key, reply: reply})
		select {
		case known := <-reply:
			if known.found {
				return known.origin, "here"
			}
			if o, ok := d.front.askOrigin(d.requestContext, key, known.homes); ok {
				return o, "other_entry"
			}
		case <-d.front.stopped:
			return origin.Origin{}, "unknown"
		}
	}
	asked := d.front.now()
	if version := d.soleVersion(asked); version != "" {
		return origin.Origin{Service: d.service, Version: version}, "sole_version"
	}
	if !d.awaitSaved() {
		return origin.Origin{}, "unknown"
	}
	if d.call.Resumes != "" {
		if o, ok := d.knownOrigin(origin.KeyOf(d.admission.AccountName(), d.call.Resumes)); ok {
			return o, "store"
		}
	}
	if version := d.soleVersion(asked); version != "" {
		return origin.Origin{Service: d.service, Version: version}, "sole_version"
	}
	return origin.Origin{}, "unknown"
}

// soleVersion returns the only version of the request's service that was listed for as long as a
// stream of its route lasts, up to a moment; empty = none.
func (d *delivery) soleVersion(at time.Duration) string {
	reply := make(chan string, 1)
	d.front.send(soleVersionMessage{
		soleVersionQuery{
			service: d.service, at: at, lifetime: streamLifetime(d.admission.Route), until: at + d.front.config.Timing.EndpointInterval + relayReadTimeout, reply: reply,
		},
	})
	select {
	case version := <-reply:
		return version
	case <-d.requestContext.Done():
	case <-d.front.stopped:
	}
	return ""
}

// knownOrigin returns what this entry knows of the origin of a stream.
func (d *delivery) knownOrigin(key origin.Key) (origin.Origin, bool) {
	reply := make(chan originKnown, 1)
	d.front.send(originMessage{key: key, reply: reply})
	select {
	case known := <-reply:
		return known.origin, known.found
	case <-d.front.stopped:
		return origin.Origin{}, false
	}
}

// originAmbiguous reports whether another software version may have sent the events of the stream
// that began with this attempt.
func (d *delivery) originAmbiguous() bool {
	reply := make(chan originKnown, 1)
	d.front.send(originMessage{key: d.originKey(), reply: reply})
	select {
	case known := <-reply:
		return known.origin.Ambiguous
	case <-d.front.stopped:
		return true
	}
}

// askOrigin asks other entries for the origin of a stream. The first that knows it decides.
func (f *Front) askOrigin(ctx context.Context, key origin.Key, addresses []string) (origin.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, originAskTimeout)
	defer cancel()
	replies := make(chan *nodepb.OriginReply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := f.relay.client.Relay(address).Origin(ctx, &nodepb.OriginRequest{Key: uint64(key)})
			if err != nil {
				f.log.Info().Str("entry", address).Err(err).Msg("origin_not_told")
				reply = &nodepb.OriginReply{}
			}
			replies <- reply
		}()
	}
	for range addresses {
		if reply := <-replies; reply.Known {
			return origin.Origin{Key: key, Service: reply.Service, Version: reply.Version, Ambiguous: reply.Ambiguous}, true
		}
	}
	return origin.Origin{}, false
}

// Origin implements nodepb.Relay.
func (s relayServer) Origin(ctx context.Context, req *nodepb.OriginRequest) (*nodepb.OriginReply, error) {
	reply := make(chan originKnown, 1)
	s.front.send(originMessage{key: origin.Key(req.Key), reply: reply})
	select {
	case known := <-reply:
		return &nodepb.OriginReply{Known: known.found, Ambiguous: known.origin.Ambiguous, Version: known.origin.Version, Service: known.origin.Service}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.front.stopped:
		return &nodepb.OriginReply{}, nil
	}
}

// originKnown is what this entry knows of the origin of a stream.
type originKnown struct {
	origin origin.Origin
	found  bool
	homes  []string // addresses of the entries to ask, if it was not found
}

// originMessage asks for the origin of a stream.
type originMessage struct {
	key   origin.Key
	reply chan<- originKnown
}

func (m originMessage) apply(c *control) {
	known := originKnown{}
	if known.origin, known.found = c.origins.Lookup(c.front.now(), m.key); !known.found {
		for _, name := range origin.Homes(m.key, append(c.members.names(), c.front.config.ID), originAsked) {
			if s := c.members.all[name]; s != nil {
				known.homes = append(known.homes, s.Address)
			}
		}
	}
	m.reply <- known
}

// streamBegunMessage reports the first event of a caller's stream, by the placement that
// brought it.
type streamBegunMessage struct {
	key       origin.Key
	service   string
	placement scheduler.Placement
}

func (m streamBegunMessage) apply(c *control) {
	p := m.placement
	begun := c.origins.Begin(c.front.now(), origin.Origin{Key: m.key, Service: m.service, Version: p.Version}, p.Endpoint, p.Born)
	c.tellOrigins(begun)
	c.saveOrigin(begun)
}

// streamEndedMessage reports that a caller's stream, which began here, has ended.
type streamEndedMessage struct{ key origin.Key }

func (m streamEndedMessage) apply(c *control) {
	c.origins.End(m.key)
}

// maxUntoldOrigins bounds the origins that wait for another entry to be heard.
const maxUntoldOrigins = 1 << 14

// tellOrigins queues origins for their homes.
func (c *control) tellOrigins(origins ...origin.Origin) {
	c.untoldOrigins = append(c.untoldOrigins, origins...)
	c.untoldOrigins = c.untoldOrigins[max(len(c.untoldOrigins)-maxUntoldOrigins, 0):]
}

// retainOrigins keeps origins for as long as callers of any route may take their streams up.
func (c *control) retainOrigins(routes iter.Seq[*routing.Route]) {
	c.saving.lifetime = 0
	for r := range routes {
		if r.Resumable {
			c.saving.lifetime = max(c.saving.lifetime, streamLifetime(r))
		}
	}
	c.origins.SetRetention(max(c.saving.lifetime, origin.DefaultConfig().Retention))
}

// sendOrigins tells the homes of streams which version began them.
func (c *control) sendOrigins(now time.Duration) {
	if len(c.untoldOrigins) == 0 {
		return
	}
	heard := c.members.heard(now)
	if len(heard) == 0 && len(c.members.all) > 0 {
		return // kept until another entry is heard
	}
	byHome := map[string][]begunStream{}
	for _, o := range c.untoldOrigins {
		for _, home := range origin.Homes(o.Key, heard, originHomes) {
			byHome[home] = append(byHome[home], begunStream{Key: uint64(o.Key), Service: o.Service, Version: o.Version, Ambiguous: o.Ambiguous})
		}
	}
	c.untoldOrigins = c.untoldOrigins[:0]
	for home, streams := range byHome {
		for len(streams) > 0 {
			n := min(len(streams), maxBegunStreams)
			c.report(directReport{From: c.front.config.ID, Begun: streams[:n]}, []string{home})
			streams = streams[n:]
		}
	}
}

// maxBegunStreams is how many streams a datagram names.
const maxBegunStreams = 500

// begunStream is an origin in a datagram.
type begunStream struct {
	Key       uint64 `cbor:"1,keyasint"`
	Version   string `cbor:"2,keyasint"`
	Ambiguous bool   `cbor:"3,keyasint,omitempty"`
	Service   string `cbor:"4,keyasint"`
}

// soleVersionQuery asks which version was the only one of a service for a time.
type soleVersionQuery struct {
	service  string
	at       time.Duration // up to which the list must be known
	lifetime time.Duration // before at
	until    time.Duration // when to give up
	reply    chan<- string // empty = there is no sole one
}

// soleVersionMessage delivers a query. It is answered when the list is known up to the moment.
type soleVersionMessage struct{ query soleVersionQuery }

func (m soleVersionMessage) apply(c *control) {
	c.soleQueries = append(c.soleQueries, m.query)
	c.answerSoleQueries(c.front.now())
}

func (c *control) answerSoleQueries(now time.Duration) {
	var pending []soleVersionQuery
	for _, q := range c.soleQueries {
		version, verdict := c.versions.SoleVersion(q.service, q.at, q.lifetime)
		if verdict == origin.Pending && now < q.until {
			pending = append(pending, q)
			continue
		}
		q.reply <- version
	}
	c.soleQueries = pending
}

// observePassed records the software versions of all rows that were read, also of those that a
// later row replaces or removes: other entries may have read the list in between, and begun
// streams there. A copy of the list, and the changes in it, hold the newest row of each endpoint
// only, so that endpoints which came and went since the last read don't show in them, except by
// the removal of one that is not known here.
func (c *control) observePassed(m rowsMessage) {
	missed := m.full
	here := map[string]bool{}
	for _, r := range m.rows {
		switch {
		case r.malformed != "":
		case !r.removed:
			here[r.id] = true
			if versions := c.passedVersions[r.endpoint.Service]; !slices.Contains(versions, r.endpoint.Version) {
				c.passedVersions[r.endpoint.Service] = append(versions, r.endpoint.Version)
			}
		case r.offset >= c.listEnd && !here[r.id]:
			_, known := c.born[r.id]
			missed = missed || !known
		}
	}
	if missed {
		c.versions.Miss()
	}
}

// observeVersions records which software versions are listed.
func (c *control) observeVersions() {
	age, known := c.list.Age(c.front.now())
	if !known {
		return
	}
	versions := map[string][]string{}
	for _, e := range c.directory.All() {
		versions[e.Service] = append(versions[e.Service], e.Version)
	}
	c.versions.Observe(c.front.now()-age, origin.Position{Era: c.listEra, Offset: c.listEnd}, versions, c.passedVersions)
	clear(c.passedVersions)
	c.updateMixed(versions)
	if w, known := c.versions.SummaryOf(c.saving.lifetime); known {
		c.front.listedVersions.Store(&w)
	}
	c.answerSoleQueries(c.front.now())
}

// versionSummary is what an entry tells of the versions that it saw listed, in reports and in its
// row; see origin.Summary.
type versionSummary struct {
	SinceMS  int64               `cbor:"1,keyasint" json:"since_ms"` // how long ago it began to follow the list
	Era      int64               `cbor:"2,keyasint,omitempty" json:"era,omitempty"`
	Offset   int64               `cbor:"3,keyasint" json:"offset"`
	Versions map[string][]string `cbor:"4,keyasint" json:"versions"` // by service
}

func newVersionSummary(now time.Duration, w origin.Summary) *versionSummary {
	return &versionSummary{SinceMS: (now - w.Since).Milliseconds(), Era: w.To.Era, Offset: w.To.Offset, Versions: w.Versions}
}

// summary returns it with times of this entry. They are later than those of the entry that sent it, by
// the time that it took.
func (w *versionSummary) summary(now time.Duration) origin.Summary {
	return origin.Summary{Since: now - age(w.SinceMS), To: origin.Position{Era: w.Era, Offset: w.Offset}, Versions: w.Versions}
}

func (c *control) encodeVersions(now time.Duration) *versionSummary {
	w, known := c.versions.Summary()
	if !known {
		return nil
	}
	return newVersionSummary(now, w)
}

func (c *control) receiveVersions(now time.Duration, w *versionSummary) {
	c.versions.Extend(w.summary(now))
}
