// Package origin decides at which software version of an endpoint a broken stream may go on.
//
// What two versions write does not fit together, and versions serve side by side while a
// service is released. A caller whose connection broke comes back to any entry and names the
// attempt that brought its first event. The entry that ran that attempt may be gone. So each
// entry tells a few others, which the attempt itself selects, which version began it (Log). A
// stream whose origin nobody knows may still go on if only one version was listed for as long
// as any of its callers' streams can last (History). Otherwise it must not.
//
// A message that is lost or late costs the stream and never mixes versions.
//
// The package has no I/O, clock or goroutine. Times are offsets on a single clock that the
// caller chooses.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"sort"
	"strconv"
	"time"

	"primrosespoke.dev/coord/membership"
)

// Key identifies a caller's attempt: the same ID of two client accounts is not the same attempt.
type Key uint64

// KeyOf returns the key of an attempt.
func KeyOf(account, attempt string) Key {
	h := sha256.New()
	h.Write([]byte(strconv.Quote(account)))
	h.Write([]byte(attempt))
	return Key(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Homes returns up to n names, in the order in which rendezvous hashing selects them for a key.
func Homes(k Key, names []string, n int) []string {
	instances := make([]membership.Instance, 0, len(names))
	for _, name := range names {
		instances = append(instances, membership.Instance{ID: name})
	}
	var homes []string
	for _, i := range membership.Rendezvous(strconv.FormatUint(uint64(k), 16), instances) {
		if len(homes) < n {
			homes = append(homes, i.ID)
		}
	}
	return homes
}

// Origin says which version began a stream.
type Origin struct {
	Key Key
	// Service and Version are those of the endpoint's software.
	Service, Version string
	// Ambiguous is set if it may have been another one.
	Ambiguous bool
}

// record is what is known of one stream.
type record struct {
	Origin
	at       time.Duration
	endpoint string // of a stream that this entry began
	born     int64  // incarnation of endpoint
	running  bool   // a stream of this entry that has not ended
}

// Config holds the settings of a Log.
type Config struct {
	// Retention is how long an origin is kept.
	Retention time.Duration
	// MaxOrigins bounds the origins that are kept; the oldest ones go first.
	MaxOrigins int
}

// DefaultConfig returns the settings for entries that serve callers.
func DefaultConfig() Config {
	return Config{Retention: time.Minute, MaxOrigins: 1 << 16}
}

// Log holds the origins of streams that this entry began or was told of. It is used by one
// goroutine.
type Log struct {
	cfg     Config
	records map[Key]*record
	order   []*record // by age
}

// NewLog returns an empty log.
func NewLog(cfg Config) *Log {
	return &Log{cfg: cfg, records: map[Key]*record{}}
}

// SetRetention changes how long an origin is kept.
func (l *Log) SetRetention(d time.Duration) {
	l.cfg.Retention = d
}

// Begin records that an incarnation of an endpoint sent the first event of a stream of this
// entry. It returns what the homes are to be told.
func (l *Log) Begin(now time.Duration, o Origin, endpoint string, born int64) Origin {
	r := l.put(now, o)
	r.endpoint, r.born, r.running = endpoint, born, true
	return r.Origin
}

// End records that a stream of this entry has ended.
func (l *Log) End(k Key) {
	if r := l.records[k]; r != nil {
		r.running = false
	}
}

// Learn records what another entry announced.
func (l *Log) Learn(now time.Duration, o Origin) {
	l.put(now, o)
}

// put stores an origin. Two versions for one attempt, as after an ID was used twice, make it
// ambiguous.
func (l *Log) put(now time.Duration, o Origin) *record {
	if known := l.records[o.Key]; known != nil {
		known.Ambiguous = known.Ambiguous || o.Ambiguous || known.Version != o.Version || known.Service != o.Service
		return known
	}
	r := &record{Origin: o, at: now}
	l.records[o.Key] = r
	l.order = append(l.order, r)
	l.expire(now)
	return r
}

func (l *Log) expire(now time.Duration) {
	n := 0
	for n < len(l.order) && (now >= l.order[n].at+l.cfg.Retention || len(l.order)-n > l.cfg.MaxOrigins) {
		delete(l.records, l.order[n].Key)
		n++
	}
	l.order = l.order[n:]
}

// Lookup returns the origin of a stream, and false if it is not known.
func (l *Log) Lookup(now time.Duration, k Key) (Origin, bool) {
	l.expire(now)
	r := l.records[k]
	if r == nil {
		return Origin{}, false
	}
	return r.Origin, true
}

// Listed records that an endpoint is listed with an incarnation and a version. Streams of this
// entry that were attributed to another incarnation of another version may have been begun by
// either, since an endpoint answers before its new row is read. It returns those that became
// ambiguous.
func (l *Log) Listed(endpoint string, born int64, version string) []Origin {
	var changed []Origin
	for _, r := range l.order {
		if r.endpoint == endpoint && r.born != born && r.Version != version && !r.Ambiguous {
			r.Ambiguous = true
			changed = append(changed, r.Origin)
		}
	}
	return changed
}

// Running returns the origins of the streams of this entry that have not ended.
func (l *Log) Running() []Origin {
	var running []Origin
	for _, r := range l.order {
		if r.running {
			running = append(running, r.Origin)
		}
	}
	return running
}

// IsRunning reports whether a stream of this entry has not ended.
func (l *Log) IsRunning(k Key) bool {
	r := l.records[k]
	return r != nil && r.running
}

// Len returns how many origins are known.
func (l *Log) Len() int {
	return len(l.records)
}

// Position is a place in the list of endpoints.
type Position struct {
	// Era rises when the list came back from an older copy, and Offset is comparable within one.
	Era, Offset int64
}

// Summary is what one entry tells the others about the versions that it saw listed.
type Summary struct {
	// Since is since when it has followed the list without a gap, and To the place up to which.
	// Places and not times show that nothing lies between it and what the receiver saw.
	Since time.Duration
	To    Position
	// Versions are those that were listed in that time, by service.
	Versions map[string][]string
}

// History records which versions of each service were listed and when. It is used by one
// goroutine.
type History struct {
	maxGap  time.Duration
	known   bool
	since   time.Duration // since when the list was followed without a gap
	from    Position      // of the list at the first observation after the last gap
	asOf    time.Duration // up to which the list is known
	to      Position
	listed  map[string]map[string]time.Duration // by service and version: when last listed
	current map[string][]string                 // versions of the last observation, by service
	missed  bool                                // endpoints may have come and gone before the next observation
	gapped  bool                                // since is not that of the first observation
	empty   bool                                // no stream began before since
}

// historyRetention is how long a version that is not listed any more is remembered. A longer time
// can't be vouched for.
const historyRetention = 10 * time.Minute

// NewHistory returns an empty history. Two reads of the list that are further apart than maxGap
// may have missed an endpoint.
func NewHistory(maxGap time.Duration) *History {
	return &History{maxGap: maxGap, listed: map[string]map[string]time.Duration{}}
}

// Miss records that endpoints may have been listed and removed since the last observation, which
// the next one does not show.
func (h *History) Miss() {
	h.missed = true
}

// StartEmpty records that no stream began before this entry started, so that the history reaches
// back without limit until its first gap.
func (h *History) StartEmpty() {
	h.empty = !h.gapped
}

// Observe records the versions that are listed as of a time, by service, and the place in the
// list up to which that is known. passed holds those that were listed since the last observation
// and may be gone already.
func (h *History) Observe(asOf time.Duration, to Position, versions, passed map[string][]string) {
	if h.known && asOf < h.asOf {
		h.add(passed) // the caller does not tell them again
		return
	}
	if !h.known || h.missed || asOf > h.asOf+h.maxGap || to.Era != h.to.Era {
		h.gapped = h.known
		h.empty = h.empty && !h.gapped
		h.since, h.from, h.missed = asOf, to, false
	}
	h.known, h.asOf, h.to = true, asOf, to
	h.add(h.current) // what is gone may have been listed until now
	h.add(passed)
	h.add(versions)
	h.current = versions
}

// add records versions as listed until now, and drops those that are long gone.
func (h *History) add(versions map[string][]string) {
	for service, list := range versions {
		if h.listed[service] == nil {
			h.listed[service] = map[string]time.Duration{}
		}
		for _, version := range list {
			h.listed[service][version] = h.asOf
		}
	}
	for service, last := range h.listed {
		for version, seen := range last {
			if h.asOf > seen+historyRetention {
				delete(last, version)
			}
		}
		if len(last) == 0 {
			delete(h.listed, service)
		}
	}
}

// Extend adds what another entry saw before this one began to follow the list. A summary that
// leaves a gap between the two is of no use.
func (h *History) Extend(w Summary) {
	if !h.known || w.Since >= h.reaches() || w.To.Era != h.from.Era || w.To.Offset < h.from.Offset {
		return
	}
	h.since = w.Since
	h.add(w.Versions)
}

// reaches returns the time since which the history says everything.
func (h *History) reaches() time.Duration {
	if h.empty {
		return h.asOf - historyRetention
	}
	return h.since
}

// From returns the place in the list at the first observation after the last gap, and false if the
// list was never read.
func (h *History) From() (Position, bool) {
	return h.from, h.known
}

// Summary returns what this entry tells the others, and false if it never read the list.
func (h *History) Summary() (Summary, bool) {
	return h.SummaryOf(historyRetention)
}

// SummaryOf returns the summary of a time before the last observation.
func (h *History) SummaryOf(window time.Duration) (Summary, bool) {
	w := Summary{Since: max(h.reaches(), h.asOf-window), To: h.to, Versions: map[string][]string{}}
	for service, last := range h.listed {
		for version, seen := range last {
			if seen >= h.asOf-window {
				w.Versions[service] = append(w.Versions[service], version)
			}
		}
		sort.Strings(w.Versions[service])
	}
	return w, h.known
}

// Mixed reports whether several versions of a service were listed in a time before the last
// observation. Unlike the lack of a sole version, that does not hold for a history that is too
// short.
func (h *History) Mixed(service string, before time.Duration) bool {
	n := 0
	for _, seen := range h.listed[service] {
		if seen >= h.asOf-before {
			n++
		}
	}
	return n > 1
}

// Verdict says whether a service had one version only.
type Verdict int

// Verdicts.
const (
	// Sole: no other version was listed.
	Sole Verdict = iota + 1
	// Several: another version was listed, or may have been.
	Several
	// Pending: the list is not known up to the time in question yet.
	Pending
)

// SoleVersion returns the only version of a service that was listed from before until at. An
// endpoint is listed before it gets its first request, so that version began every stream of
// the time, wherever it began.
func (h *History) SoleVersion(service string, at, before time.Duration) (string, Verdict) {
	if before > historyRetention {
		return "", Several
	}
	sole := ""
	for version, seen := range h.listed[service] {
		if seen < at-before {
			continue
		}
		if sole != "" {
			return "", Several
		}
		sole = version
	}
	switch {
	case h.known && h.reaches() > at-before:
		return "", Several
	case !h.known || h.asOf < at:
		return "", Pending
	case sole == "":
		return "", Several
	}
	return sole, Sole
}
