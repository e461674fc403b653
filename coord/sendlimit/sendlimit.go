// Package sendlimit keeps what all entries together send to an endpoint within the rate of
// requests that the endpoint names in its answers.
//
// Shares of the rate, one for each entry, would be wasted where few entries have work, and as
// each entry may send at least one request at any time, they add up beyond a low rate where
// there are many entries. So each endpoint with a limit has a home, which is one of the entries
// by rendezvous hashing. The home holds the token bucket of the limit and grants permits for
// single requests to the entries that ask for them, the most valuable work first. A permit
// lapses soon, so that neither a slow nor a suspended entry can collect them. The home is soft
// state: an entry that does not hear it for a time asks the next one.
//
// Views of the entries differ for a while when one starts, leaves or is cut off, so two entries
// may take themselves for the home of an endpoint. An entry that has become the home only
// recently grants a small part of the rate, so that its permits and those of the home before
// it stay within the bound of the endpoint's owners. An entry that hears only some of the others
// grants no more than their part, since the rest may have a home of their own.
//
// The limit itself is known from the answers and from the reports of the other entries. It ends
// with an answer that names none to a request that was sent after the last answer that named
// one. For as long as there are requests, some go to the endpoint, so its end is noticed.
//
// An endpoint may also ask one entry for rest. That holds for this entry alone and is not
// reported: the endpoint asks the others by itself.
//
// The package has no I/O, clock or goroutine. Times are offsets on a single clock that the
// caller chooses; what another entry reports are durations, since clocks differ.
package sendlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primrosespoke.dev/coord/invariant"
)

// Config holds the settings of a Limiter.
type Config struct {
	// Window is the span in which the owners of the endpoints count requests.
	Window time.Duration
	// Share is the part of a named rate that a home grants. The rest covers permits that are
	// used later than others.
	Share float64
	// NewHomeShare is the part of Share that an entry grants until it has been the home for
	// Window and the lifetime of a permit.
	NewHomeShare float64
	// Burst is how many permits a home may grant at once.
	Burst float64
	// PermitTTL is how long after its arrival a permit may be used.
	PermitTTL time.Duration
	// AskInterval is the time between two asks of an entry for the same endpoint, and AskTTL how
	// long a home considers one.
	AskInterval, AskTTL time.Duration
	// GrantDelay is how long a permit may be on its way to the entry that asked for it.
	GrantDelay time.Duration
	// StartDelay is how long after its start an entry grants nothing, since it has not heard the
	// others.
	StartDelay time.Duration
	// StallTime is the time between two steps from which on the process counts as suspended.
	StallTime time.Duration
	// RecheckTime is how long after a limit was last named a request should be sent in order to
	// learn whether it still applies.
	RecheckTime time.Duration
	// MinRate is the rate, in requests per second, that is granted of a lower limit, so that its
	// end is noticed.
	MinRate float64
	// EndMargin is how much later than the last answer with a limit a request must have been
	// sent for its answer without one to end the limit. It covers the delay of reports.
	EndMargin time.Duration
	// EndedTTL is how long the end of a limit is reported.
	EndedTTL time.Duration
	// MaxRest bounds the time for which an endpoint rests after one answer.
	MaxRest time.Duration
	// MaxRecords bounds the endpoints of which a limit is known.
	MaxRecords int
}

// Defaults of Config.
const (
	DefaultWindow       = 4 * time.Second
	DefaultShare        = 0.95
	DefaultNewHomeShare = 0.25
	DefaultBurst        = 2.0
	DefaultPermitTTL    = 500 * time.Millisecond
	DefaultAskInterval  = 100 * time.Millisecond
	DefaultAskTTL       = 300 * time.Millisecond
	DefaultGrantDelay   = 200 * time.Millisecond
	DefaultStartDelay   = time.Second
	DefaultStallTime    = 500 * time.Millisecond
	DefaultRecheckTime  = time.Second
	DefaultMinRate      = 0.2
	DefaultEndMargin    = 50 * time.Millisecond
	DefaultEndedTTL     = 20 * time.Second
	DefaultMaxRest      = 10 * time.Minute
	DefaultMaxRecords   = 4096
)

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Window: DefaultWindow, Share: DefaultShare, NewHomeShare: DefaultNewHomeShare, Burst: DefaultBurst, PermitTTL: DefaultPermitTTL,
		AskInterval: DefaultAskInterval, AskTTL: DefaultAskTTL, GrantDelay: DefaultGrantDelay, StartDelay: DefaultStartDelay, StallTime: DefaultStallTime,
		RecheckTime: DefaultRecheckTime, MinRate: DefaultMinRate, EndMargin: DefaultEndMargin, EndedTTL: DefaultEndedTTL, MaxRest: DefaultMaxRest, MaxRecords: DefaultMaxRecords,
	}
}

// record is what is known of the limit of one endpoint.
type record struct {
	born       int64 // incarnation of the endpoint
	limited    bool
	rate       float64       // requests per second, if limited
	at         time.Duration // last answer that named the limit, or else when the request was sent whose answer named none
	bucket     bucket        // used by the home
	asks       map[string]*ask
	restsUntil time.Duration   // this entry sends nothing before
	permits    []time.Duration // until when each unused permit of this entry may be used, sorted
	demand     demand
	asking     bool // this entry asked for permits last, at askedAt
	askedAt    time.Duration
	received   int // permits so far
}

// demand is what this entry would send to an endpoint.
type demand struct {
	requests int
	value    float64
}

// Limiter holds the limits that one entry knows. It is used by one goroutine.
type Limiter struct {
	cfg     Config
	self    string
	records map[string]*record // by endpoint ID
	views   []view             // of the entries, the newest last; never empty
	known   int                // entries, heard or not
	started time.Duration
	stepped time.Duration
	homes   map[string]home // by endpoint ID, in the newest view
}

// New returns a limiter of an entry that starts now and knows no other one.
func New(now time.Duration, self string, cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, self: self, records: map[string]*record{}, views: []view{{since: now, entries: []string{self}}},
		known: 1, started: now, stepped: now, homes: map[string]home{},
	}
}

// State is what is known of the limit of one incarnation of an endpoint.
type State struct {
	Endpoint string
	Born     int64
	Limited  bool
	// Rate is the limit in requests per second, if Limited.
	Rate float64
	// Age is the time since the limit was last named, or since the request was sent whose answer
	// named none.
	Age time.Duration
}

// Named records an answer that named a limit. It reports whether that changes the limit.
func (l *Limiter) Named(now time.Duration, endpoint string, born int64, rate float64) bool {
	r := l.record(endpoint, born)
	if r == nil {
		return false
	}
	if now < r.at {
		return false
	}
	changed := !r.limited || r.rate != rate
	if !r.limited {
		r.bucket = bucket{refilledAt: now}
	}
	r.limited, r.rate, r.at = true, rate, now
	return changed
}

// NotNamed records an answer without a limit to a request that was sent at some time. It
// reports whether that ends a limit.
func (l *Limiter) NotNamed(sentAt time.Duration, endpoint string, born int64) bool {
	r := l.records[endpoint]
	if r == nil || r.born != born || sentAt <= r.at+l.cfg.EndMargin {
		return false
	}
	ended := r.limited
	r.limited, r.at = false, sentAt
	r.permits, r.asks, r.demand = nil, nil, demand{}
	return ended
}

// Merge adds what another entry reports. It returns the limits that changed.
func (l *Limiter) Merge(now time.Duration, states []State) []State {
	var changed []State
	for _, s := range states {
		at := now - max(s.Age, 0)
		if s.Limited && l.Named(at, s.Endpoint, s.Born, s.Rate) || !s.Limited && l.ended(at, s) {
			changed = append(changed, s)
		}
	}
	return changed
}

// ended records the end of a limit, also of one that is not known: a late report of the limit
// itself may follow.
func (l *Limiter) ended(at time.Duration, s State) bool {
	if r := l.record(s.Endpoint, s.Born); r == nil {
		return false
	}
	return l.NotNamed(at, s.Endpoint, s.Born)
}

// Report returns what is known of at most count limits, the last learned first. Those that
// ended are among them for EndedTTL.
func (l *Limiter) Report(now time.Duration, count int) []State {
	var states []State
	for id, r := range l.records {
		if r.limited || r.at != neverNamed && now < r.at+l.cfg.EndedTTL {
			states = append(states, r.state(now, id))
		}
	}
	slices.SortFunc(states, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return states[:min(count, len(states))]
}

func (r *record) state(now time.Duration, id string) State {
	return State{Endpoint: id, Born: r.born, Limited: r.limited, Rate: r.rate, Age: now - r.at}
}

// record returns the record of an incarnation of an endpoint, which it creates if there is room;
// nil for an earlier incarnation than the known one.
func (l *Limiter) record(endpoint string, born int64) *record {
	r := l.records[endpoint]
	switch {
	case r != nil && r.born == born:
		return r
	case r != nil && born < r.born:
		return nil
	case r == nil && len(l.records) >= l.cfg.MaxRecords:
		return nil
	}
	r = &record{born: born, at: neverNamed}
	l.records[endpoint] = r
	return r
}

// neverNamed is the time of a limit of which nothing is known.
const neverNamed = time.Duration(math.MinInt64 / 2)

// Retain forgets the endpoints that are gone and the earlier incarnations of others; born
// returns the current one.
func (l *Limiter) Retain(born func(endpoint string) (int64, bool)) {
	for id, r := range l.records {
		if current, ok := born(id); !ok || current > r.born {
			delete(l.records, id)
		}
	}
}

// Limited returns the endpoints that name a limit.
func (l *Limiter) Limited() []string {
	var ids []string
	for id, r := range l.records {
		if r.limited {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Rest records that an endpoint asked this entry to send nothing for a time. It reports whether
// the endpoint did not rest so far.
func (l *Limiter) Rest(now time.Duration, endpoint string, born int64, lasts time.Duration) bool {
	r := l.record(endpoint, born)
	if r == nil {
		return false
	}
	rested := now < r.restsUntil
	r.restsUntil = max(r.restsUntil, now+min(lasts, l.cfg.MaxRest))
	return !rested
}

// RestsUntil returns until when an endpoint rests; false = it does not.
func (l *Limiter) RestsUntil(now time.Duration, endpoint string) (time.Duration, bool) {
	r := l.records[endpoint]
	if r == nil || now >= r.restsUntil {
		return 0, false
	}
	return r.restsUntil, true
}

// Resting returns the endpoints that rest, and until when each does.
func (l *Limiter) Resting(now time.Duration) map[string]time.Duration {
	resting := map[string]time.Duration{}
	for id, r := range l.records {
		if now < r.restsUntil {
			resting[id] = r.restsUntil
		}
	}
	return resting
}

// Rate returns the limit of an endpoint in requests per second; false if it has none.
func (l *Limiter) Rate(endpoint string) (float64, bool) {
	r := l.records[endpoint]
	if r == nil || !r.limited {
		return 0, false
	}
	return max(r.rate, l.cfg.MinRate), true
}

// Open reports whether this entry may send a request to an endpoint now.
func (l *Limiter) Open(now time.Duration, endpoint string) bool {
	r := l.records[endpoint]
	switch {
	case r == nil:
		return true
	case now < r.restsUntil:
		return false
	}
	return !r.limited || r.unused(now) > 0
}

// unused counts the permits that may still be used.
func (r *record) unused(now time.Duration) int {
	for len(r.permits) > 0 && now >= r.permits[0] {
		r.permits = r.permits[1:]
	}
	return len(r.permits)
}

// Due reports whether a request should be sent to an endpoint in order to learn whether its
// limit still applies.
func (l *Limiter) Due(now time.Duration, endpoint string) bool {
	r := l.records[endpoint]
	return r != nil && r.limited && now > r.at+l.cfg.RecheckTime
}

// Take uses a permit and returns until when the request must be sent; 0 = the endpoint has no
// limit. It must not be called where Open is false.
func (l *Limiter) Take(now time.Duration, endpoint string) time.Duration {
	r := l.records[endpoint]
	if r == nil || !r.limited {
		return 0
	}
	n := r.unused(now)
	invariant.Check(n > 0, "sendlimit/permit-for-each-send", "no permit for endpoint %s", endpoint)
	if n == 0 {
		return now
	}
	until := r.permits[0]
	r.permits = r.permits[1:]
	return until
}

// SetDemand says how many requests this entry would send to an endpoint now, and the value of
// the first of them.
func (l *Limiter) SetDemand(endpoint string, requests int, value float64) {
	if r := l.records[endpoint]; r != nil && r.limited {
		r.demand = demand{requests: requests, value: value}
	}
}
