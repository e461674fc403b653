package front

import (
	"time"

	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/staleness"
)

// Reasons why a request is neither denied nor sent by the configuration.
const (
	reasonConfigurationOld = "configuration out of date"
	reasonNoConfiguration  = "no configuration known"
)

// configurationState is the configuration that requests are checked against. The control
// goroutine publishes it as one immutable copy.
type configurationState struct {
	table     *routing.Table
	freshness routing.Freshness
	// proof is the one that freshness rests on.
	proof proof
	// read is when the topic was last known to be read to its end. It goes on where freshness
	// does not since table is superseded.
	read routing.Freshness
	// superseded is set if the newest version can't be decoded, or if the store holds none. Table is
	// the one before then.
	superseded bool
	// storeOut is set if requests may be sent by the configuration whatever its age, since no
	// entry can read a newer one.
	storeOut bool
	// replaced is closed when a later state is published.
	replaced chan struct{}
}

// usedWhenOld reports whether what the configuration allows goes on although it may not be the
// newest.
func (s *configurationState) usedWhenOld() bool {
	return s.storeOut || s.superseded
}

// versionOffsets are the offsets of the newest version of the configuration that could be decoded,
// and of the newest one that could not, or up to which the store held none.
type versionOffsets struct{ usable, unusable versionOffset }

// versionOffset is the offset of a version, if there is one.
type versionOffset struct {
	offset
	known bool
}

func (o versionOffset) before(other versionOffset) bool {
	if !o.known || !other.known || o.era != other.era {
		return other.known && (!o.known || o.era < other.era)
	}
	return o.number < other.number
}

// add records a version.
func (v *versionOffsets) add(at offset, usable bool) {
	found := versionOffset{offset: at, known: true}
	if usable {
		v.merge(versionOffsets{usable: found})
	} else {
		v.merge(versionOffsets{unusable: found})
	}
}

// merge records the versions of another batch, which may be older than those that are known.
func (v *versionOffsets) merge(other versionOffsets) {
	if v.usable.before(other.usable) {
		v.usable = other.usable
	}
	if v.unusable.before(other.unusable) {
		v.unusable = other.unusable
	}
}

// superseded reports whether the newest version could not be decoded, or is no longer in the store.
func (v *versionOffsets) superseded() bool {
	return v.usable.before(v.unusable)
}

// proof says when, and by what kind of read, a configuration was shown to be the newest.
type proof struct {
	asOf   time.Duration
	source string // address of another front, or sourceStore
	kind   string
	next   int64         // the offset up to which the topic was read
	took   time.Duration // from the send of the read to the end of the answer
}

// Values of proof.kind.
const (
	proofWhole   = "whole"   // the newest record of each key
	proofChanges = "changes" // the records from an offset on
	proofEmpty   = "empty"   // there were none, as of the send of the read
	proofWaited  = "waited"  // there were none up to the end of the wait
)

func newProof(got fetchResult) proof {
	p := proof{asOf: got.asOf, source: got.source, next: got.Next, took: got.took, kind: proofEmpty}
	switch {
	case got.full:
		p.kind = proofWhole
	case got.waited:
		p.kind = proofWaited
	case len(got.Records) > 0:
		p.kind = proofChanges
	}
	return p
}

func (f *Front) configurationAgeLimit() time.Duration {
	return shareOf(f.config.ApplyWithin, configurationMaxAgeShare)
}

func (f *Front) configurationRefreshAge() time.Duration {
	return shareOf(f.config.ApplyWithin, configurationRefreshShare)
}

func (f *Front) maxConfigurationWait() time.Duration {
	return shareOf(f.config.ApplyWithin, configurationWaitShare)
}

// configurationAge returns how long ago the configuration was known to be the newest; 0 if it
// never was.
func (f *Front) configurationAge() time.Duration {
	age, _ := f.configuration.Load().freshness.Age(f.now())
	return age
}

// configurationReadAge returns how long ago the topic of the configuration was known to be read to
// its end.
func (f *Front) configurationReadAge() time.Duration {
	age, _ := f.configuration.Load().read.Age(f.now())
	return age
}

// configurationOutOfDate reports whether a newer version may have come into force elsewhere.
func (f *Front) configurationOutOfDate(state *configurationState) bool {
	age, known := state.freshness.Age(f.now())
	return !known || age > f.configurationAgeLimit()
}

// keysTrusted reports whether the configuration is recent enough for its keys to be trusted.
func (f *Front) keysTrusted(state *configurationState) bool {
	age, known := state.freshness.Age(f.now())
	return f.config.MaxConfigurationAge == 0 || known && age < f.config.MaxConfigurationAge
}

// check looks up the request's route and account in the current configuration. It returns a
// reason to refuse the request for now if there is none, or if it is too old for what it says:
// that there is no such route or key holds only while it is recent.
func (d *delivery) check(state *configurationState) (routing.Admission, routing.Refusal, string) {
	if state.table == nil {
		return routing.Admission{}, routing.NoRoute, reasonNoConfiguration
	}
	admission, refusal := state.table.Admit(d.request.Host, d.request.URL.Path, d.call.Key, d.front.config.KeyPolicy)
	allowed := refusal == routing.Allowed
	if d.front.configurationOutOfDate(state) && !(allowed && state.usedWhenOld()) {
		return admission, refusal, reasonConfigurationOld
	}
	if !(allowed && admission.Route.Public) && !d.front.keysTrusted(state) {
		return admission, refusal, "configuration not known to be the newest"
	}
	return admission, refusal, ""
}

// awaitCheck checks the request against the configuration. If that is out of date, it waits for
// a more recent one, at most for maxConfigurationWait and until the requests in progress must be
// answered.
func (d *delivery) awaitCheck() (routing.Admission, routing.Refusal, string) {
	var expired <-chan time.Time
	for {
		state := d.front.configuration.Load()
		admission, refusal, reason := d.check(state)
		d.checkedBy, d.checkedAt = state, d.front.now()
		if reason != reasonConfigurationOld {
			return admission, refusal, reason
		}
		if expired == nil {
			timer := time.NewTimer(d.front.maxConfigurationWait())
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-state.replaced:
			continue
		case <-expired:
		case <-d.requestContext.Done():
		case <-d.front.endContext.Done():
		}
		return admission, refusal, reason
	}
}

// publish makes a copy of the configuration visible to the request goroutines.
func (c *control) publish() {
	state := c.configuration
	state.storeOut = c.configurationVerdict == staleness.SourceOut
	state.replaced = make(chan struct{})
	if before := c.front.configuration.Swap(&state); before.replaced != nil {
		close(before.replaced)
	}
}

// assessConfiguration decides whether requests may be sent by an old configuration, and logs
// when that changes.
func (c *control) assessConfiguration(now time.Duration) {
	verdict, readBy := c.configurationSource.Assess(now)
	if verdict == c.configurationVerdict {
		return
	}
	age, _ := c.configurationSource.Age(now)
	c.front.log.Info().Str("verdict", verdictNames[verdict]).Str("before", verdictNames[c.configurationVerdict]).
		Int64("configuration_age_ms", age.Milliseconds()).Str("read_by", readBy).Msg("configuration_assessed")
	c.configurationVerdict = verdict
	c.front.metrics.configurationAssessed(verdictNames[verdict])
	c.publish()
}

// observeConfigurations records the versions in a batch of the configuration's topic.
func (c *control) observeConfigurations(versions versionOffsets) {
	c.configurationOffsets.merge(versions)
	c.configuration.superseded = c.configurationOffsets.superseded()
	c.rolloutEra(c.configurationOffsets.usable.era)
}

// confirmConfiguration records a proof that the newest version was known, and logs where proofs
// come from when that changes.
func (c *control) confirmConfiguration(p proof) {
	c.configuration.read.Confirm(p.asOf)
	if c.configuration.superseded {
		c.configurationSource.Confirm(p.asOf)
		c.assessConfiguration(c.front.now())
		return
	}
	if known := c.configuration.proof; p.asOf > known.asOf || known.source == "" {
		if p.source != known.source {
			c.front.log.Info().Str("source", p.source).Str("before", known.source).Str("kind", p.kind).Int64("next", p.next).
				Int64("age_ms", (c.front.now() - p.asOf).Milliseconds()).Msg("configuration_source_changed")
		}
		c.configuration.proof = p
	}
	c.configuration.freshness.Confirm(p.asOf)
	c.configurationSource.Confirm(p.asOf)
	c.assessConfiguration(c.front.now())
}
