package sendlimit

import (
	"slices"
	"time"

	"primrosespoke.dev/coord/membership"
)

// view is a set of entries that are heard, this one included.
type view struct {
	since   time.Duration
	entries []string // sorted
}

// bucket is the token bucket of a limit.
type bucket struct {
	level      float64
	refilledAt time.Duration
}

// ask is what an entry last asked for.
type ask struct {
	requests    int
	value       float64
	expires     time.Duration
	lastGranted time.Duration
	granted     int // as the entry counts the permits that it received
}

// Ask asks the home of an endpoint for permits.
type Ask struct {
	// To is the home.
	To string
	// State is the limit as the asking entry knows it, so that the home knows it as well.
	State State
	// Requests is how many permits could be used now, and Value the value of the first request.
	Requests int
	Value    float64
	// Received counts the permits that came for the endpoint so far, by which the home knows
	// those that are on the way.
	Received int
}

// Grant gives permits to an entry.
type Grant struct {
	To       string
	Endpoint string
	Born     int64
	Permits  int
}

// Effects are the messages to send.
type Effects struct {
	Asks   []Ask
	Grants []Grant
}

// SetEntries sets the names of the other entries that are heard, and how many there are in
// all, this one included.
func (l *Limiter) SetEntries(now time.Duration, heard []string, all int) {
	entries := append(slices.Clone(heard), l.self)
	slices.Sort(entries)
	l.known = max(all, len(entries))
	newest := l.views[len(l.views)-1]
	if slices.Equal(newest.entries, entries) {
		return
	}
	l.views = append(l.views, view{since: now, entries: entries})
	for len(l.views) > 1 && l.views[1].since <= now-l.settleTime() {
		l.views = l.views[1:] // it ended before the settle time began
	}
	clear(l.homes)
}

// settleTime is how long an entry must have been the home of an endpoint until no permit of an
// earlier home can be used within the same window.
func (l *Limiter) settleTime() time.Duration {
	return l.cfg.Window + l.cfg.PermitTTL
}

// home is the home of an endpoint in the newest view.
type home struct {
	entry string
	since time.Duration // since when, in all views that this entry had
}

// Home returns the home of an endpoint.
func (l *Limiter) Home(endpoint string) string {
	return l.homeOf(endpoint).entry
}

func (l *Limiter) homeOf(endpoint string) home {
	known, ok := l.homes[endpoint]
	if ok {
		return known
	}
	newest := len(l.views) - 1
	h := home{entry: homeIn(l.views[newest], endpoint), since: l.views[newest].since}
	for i := newest - 1; i >= 0 && homeIn(l.views[i], endpoint) == h.entry; i-- {
		h.since = l.views[i].since
	}
	l.homes[endpoint] = h
	return h
}

func homeIn(v view, endpoint string) string {
	entries := make([]membership.Instance, 0, len(v.entries))
	for _, name := range v.entries {
		entries = append(entries, membership.Instance{ID: name})
	}
	return membership.Rendezvous(endpoint, entries)[0].ID
}

// settled reports whether the home of an endpoint, as this entry sees it, has been the same for
// the settle time.
func (l *Limiter) settled(now time.Duration, endpoint string) bool {
	return l.homeOf(endpoint).since <= now-l.settleTime()
}

// grantRate returns the rate, in permits per second, that this entry grants as the home.
func (l *Limiter) grantRate(now time.Duration, endpoint string, r *record) float64 {
	heard := float64(len(l.views[len(l.views)-1].entries))
	rate := max(r.rate, l.cfg.MinRate) * l.cfg.Share * heard / float64(l.known)
	if !l.settled(now, endpoint) {
		rate *= l.cfg.NewHomeShare
	}
	return rate
}

// Step grants what may be granted now, and asks for what this entry needs. It must be called
// often, also without any limit, since it notices a suspension of the process.
func (l *Limiter) Step(now time.Duration) Effects {
	if now > l.stepped+l.cfg.StallTime {
		l.resume(now)
	}
	l.stepped = now
	var effects Effects
	for _, id := range l.Limited() {
		r := l.records[id]
		if l.Home(id) != l.self {
			r.asks, r.bucket = nil, bucket{refilledAt: now}
			if a, ok := l.nextAsk(now, id, r); ok {
				effects.Asks = append(effects.Asks, a)
			}
			continue
		}
		own := r.nextOwnAsk(now)
		if now < r.restsUntil {
			own.Requests = 0
		}
		l.setAsk(now, r, l.self, own)
		effects.Grants = append(effects.Grants, l.grant(now, id, r)...)
	}
	return effects
}

// resume resets what a process that was suspended can't know: which entries are heard, and what
// others granted meanwhile.
func (l *Limiter) resume(now time.Duration) {
	newest := l.views[len(l.views)-1]
	newest.since = now
	l.views = []view{newest}
	clear(l.homes)
	for _, r := range l.records {
		r.bucket, r.asks, r.permits = bucket{refilledAt: now}, nil, nil
	}
}

// nextOwnAsk returns what this entry needs now.
func (r *record) nextOwnAsk(now time.Duration) Ask {
	return Ask{Requests: r.demand.requests - r.unused(now), Value: r.demand.value, Received: r.received}
}

// nextAsk returns the ask that is due: one each interval while permits are needed, and one that
// withdraws it.
func (l *Limiter) nextAsk(now time.Duration, id string, r *record) (Ask, bool) {
	a := r.nextOwnAsk(now)
	if a.Requests <= 0 || now < r.restsUntil {
		a.Requests = 0
		if !r.asking {
			return Ask{}, false
		}
	} else if r.asking && now < r.askedAt+l.cfg.AskInterval {
		return Ask{}, false
	}
	r.asking, r.askedAt = a.Requests > 0, now
	a.To, a.State = l.Home(id), r.state(now, id)
	return a, true
}

// ReceiveAsk records the ask of another entry. The permits are granted by Step. It returns the
// limit if the ask changes it.
func (l *Limiter) ReceiveAsk(now time.Duration, from string, a Ask) []State {
	changed := l.Merge(now, []State{a.State})
	if r := l.records[a.State.Endpoint]; r != nil && r.limited && r.born == a.State.Born && l.Home(a.State.Endpoint) == l.self {
		l.setAsk(now, r, from, a)
	}
	return changed
}

func (l *Limiter) setAsk(now time.Duration, r *record, from string, a Ask) {
	known := r.asks[from]
	if known == nil {
		if a.Requests <= 0 {
			return
		}
		known = &ask{granted: a.Received}
		if r.asks == nil {
			r.asks = map[string]*ask{}
		}
		r.asks[from] = known
	}
	if a.Received > known.granted || now > known.lastGranted+l.cfg.GrantDelay {
		known.granted = a.Received // one of the two was restarted, or permits were lost
	}
	onTheWay := known.granted - a.Received
	known.requests, known.value, known.expires = a.Requests-onTheWay, a.Value, now+l.cfg.AskTTL
}

// ReceiveGrant adds permits. Those that come long after they were asked for are not used: the
// process was suspended, and so may have been the messages to it.
func (l *Limiter) ReceiveGrant(now time.Duration, g Grant) {
	r := l.records[g.Endpoint]
	if r == nil || !r.limited || r.born != g.Born || now > r.askedAt+l.cfg.AskTTL+l.cfg.GrantDelay {
		return
	}
	l.addPermits(now, r, g.Permits)
}

func (l *Limiter) addPermits(now time.Duration, r *record, count int) {
	for range min(max(count, 0), int(l.cfg.Burst)) {
		r.received++
		r.permits = append(r.permits, now+l.cfg.PermitTTL)
	}
}

// grant grants permits as the home of an endpoint, the most valuable work first and then to the
// entry that got none for the longest time.
func (l *Limiter) grant(now time.Duration, id string, r *record) []Grant {
	elapsed := (now - r.bucket.refilledAt).Seconds()
	r.bucket.level = min(r.bucket.level+max(elapsed, 0)*l.grantRate(now, id, r), l.cfg.Burst)
	r.bucket.refilledAt = now
	if now < l.started+l.cfg.StartDelay {
		r.bucket.level = 0
		return nil
	}
	permits := map[string]int{}
	for r.bucket.level >= 1 {
		to := r.nextAsk(now)
		if to == "" {
			break
		}
		r.bucket.level--
		r.asks[to].requests--
		r.asks[to].lastGranted = now
		r.asks[to].granted++
		permits[to]++
	}
	var grants []Grant
	for to, n := range permits {
		if to == l.self {
			l.addPermits(now, r, n)
			continue
		}
		grants = append(grants, Grant{To: to, Endpoint: id, Born: r.born, Permits: n})
	}
	slices.SortFunc(grants, func(a, b Grant) int {
		if a.To < b.To {
			return -1
		}
		return 1
	})
	return grants
}

// nextAsk returns the entry that gets the next permit; empty = none. It drops expired asks.
func (r *record) nextAsk(now time.Duration) string {
	best := ""
	for from, a := range r.asks {
		if now >= a.expires {
			delete(r.asks, from)
			continue
		}
		if a.requests <= 0 {
			continue
		}
		b := r.asks[best]
		if best == "" || a.value > b.value || a.value == b.value && (a.lastGranted < b.lastGranted || a.lastGranted == b.lastGranted && from < best) {
			best = from
		}
	}
	return best
}

// Status is the state of a limit for operators.
type Status struct {
	State
	Home string
	// Settled is set at the home if it grants the whole rate.
	Settled bool
	// Level is the number of permits that the home could grant now, and Asking the entries that
	// ask for some; both are known to the home alone.
	Level  float64
	Asking []string
	// Permits are the unused permits of this entry, and Demand the requests that it would send.
	Permits, Demand int
}

// Status returns the state of all limits, sorted by endpoint.
func (l *Limiter) Status(now time.Duration) []Status {
	var list []Status
	for _, id := range l.Limited() {
		r := l.records[id]
		s := Status{State: r.state(now, id), Home: l.Home(id), Permits: r.unused(now), Demand: r.demand.requests}
		if s.Home == l.self {
			s.Settled, s.Level = l.settled(now, id), r.bucket.level
			for from := range r.asks {
				s.Asking = append(s.Asking, from)
			}
			slices.Sort(s.Asking)
		}
		list = append(list, s)
	}
	return list
}
