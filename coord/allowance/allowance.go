// Package allowance enforces the usage caps of client accounts on the sum of their usage
// over all entries (distributed rate limiting).
//
// Each entry holds a replica of every account's token bucket. It charges its own
// admissions at once and those of the other entries when they report them. Reports carry
// counters that only grow, so the next report makes up for a lost one. An entry from
// which no report has come for a timeout may be using its even share of the cap: the
// others leave that share unused, and an entry that receives no reports at all uses only
// its own share. So the shares that the sides of a partition use add up to the cap. What
// several entries admitted while their reports were on the way makes the level of the
// bucket negative, a debt that later refills pay back.
//
// An entry that starts knows neither what was used before nor what the others, which may all have
// started with it, use now. Until it knows who the others are it admits nothing, and until it
// hears one of them only its part of an initial fill.
//
// Even shares alone would not do: an account that sends many times its cap through few
// entries could not use the shares of the other entries.
package allowance

import (
	"time"
)

// Config holds the settings of a Limiter.
type Config struct {
	// PeerTimeout is the time without a report after which an entry counts as unreachable
	// and its share is left to it.
	PeerTimeout time.Duration
	// ExtraBurst is added to the burst of each bucket, in the unit of the caps, to cover
	// the delay of reports.
	ExtraBurst float64
	// InitialFill is the fraction of the burst that a bucket starts with, since usage
	// before the entry's start is unknown.
	InitialFill float64
	// RetryLevel determines after which time a refused request is to be retried: once the
	// level of its bucket exceeds the required one by this many seconds of the cap's rate.
	RetryLevel float64
}

// Cap is the usage cap of one account.
type Cap struct {
	// Rate is the usage per second and Burst the most that may be used at once. A Rate of
	// 0 means no cap.
	Rate, Burst float64
}

// Usage is what one entry has admitted since its start, by account name.
type Usage map[string]float64

// bucket is this entry's replica of one account's token bucket.
type bucket struct {
	cap        Cap
	level      float64 // negative = debt
	refilledAt time.Duration
	admitted   float64 // by this entry since its start
}

// peer is what is known of another entry.
type peer struct {
	incarnation string
	lastReport  time.Duration
	timeout     time.Duration // for an entry that reports seldom; in force where longer than Config.PeerTimeout
	usage       Usage         // as last reported
}

// Limiter admits or refuses the requests of one entry. It is used by one goroutine.
type Limiter struct {
	cfg           Config
	buckets       map[string]*bucket
	peers         map[string]*peer
	acquainted    bool          // the names of the other entries are known
	acquaintedAt  time.Duration // if acquainted
	levelsAdopted bool
}

// New returns a limiter without accounts.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// SetCaps replaces the usage caps. An account that caps does not hold has no cap from now
// on.
func (l *Limiter) SetCaps(now time.Duration, caps map[string]Cap) {
	for name, b := range l.buckets {
		if _, ok := caps[name]; !ok {
			b.cap = Cap{}
		}
	}
	for name, c := range caps {
		b, ok := l.buckets[name]
		if !ok {
			b = &bucket{level: l.cfg.InitialFill * c.Burst * l.usableShare(now), refilledAt: now}
			l.buckets[name] = b
		}
		l.refill(now, b)
		if b.cap != c {
			b.cap = c
			b.level = min(b.level, c.Burst+l.cfg.ExtraBurst)
		}
	}
}

// SetPeers sets the names of all other entries, reachable or not. A new one counts as
// unreachable until it reports.
func (l *Limiter) SetPeers(now time.Duration, names []string) {
	kept := map[string]*peer{}
	for _, name := range names {
		p := l.peers[name]
		if p == nil {
			p = &peer{lastReport: now - l.cfg.PeerTimeout}
		}
		kept[name] = p
	}
	l.peers = kept
	if !l.acquainted {
		l.acquainted, l.acquaintedAt = true, now
		l.divideInitialFill(now)
	}
}

// divideInitialFill leaves the others their part of the initial fill. All entries may have started
// at once, as after a failure of all of them.
func (l *Limiter) divideInitialFill(now time.Duration) {
	share := l.usableShare(now)
	for _, b := range l.buckets {
		b.level = min(b.level, l.cfg.InitialFill*b.cap.Burst*share)
	}
}

// startTime is how long an entry that hears no other one keeps strictly to its part of the
// initial fill, without debt. Later it counts as cut off.
const startTime = 2 * time.Second

// starting reports whether the entry has just started and knows nothing of the others' usage.
func (l *Limiter) starting(now time.Duration) bool {
	return !l.levelsAdopted && len(l.peers) > 0 && now < l.acquaintedAt+startTime
}

// sameStart is how long before this entry another one may have started for both to count as
// started at once.
const sameStart = time.Second

// ReceiveReport charges what another entry has admitted since its last report. usage
// counts from that entry's start, at startedAt on this entry's clock (0 = unknown); levels are
// those of its buckets.
func (l *Limiter) ReceiveReport(now time.Duration, from, incarnation string, startedAt time.Duration, usage Usage, levels map[string]float64) {
	p := l.peers[from]
	if p == nil {
		p = &peer{}
		l.peers[from] = p
	}
	known := p.usage
	if p.incarnation != incarnation {
		// Before the first report of an entry the change of its counters is unknown. Nothing is
		// charged, since the levels contain that usage. After a restart the counters begin at 0,
		// and all of the usage is charged. So is that of an entry that started when this one did,
		// since no level may contain it yet.
		known = usage
		if p.incarnation != "" || startedAt > 0 && startedAt > l.acquaintedAt-sameStart {
			known = Usage{}
		}
	}
	if !l.levelsAdopted {
		l.adoptLevels(now, levels)
	}
	for name, total := range usage {
		if b := l.buckets[name]; b != nil && total > known[name] {
			l.refill(now, b)
			b.level -= total - known[name]
		}
	}
	p.incarnation, p.lastReport, p.usage = incarnation, now, usage
}

// SetPeerTimeout sets a timeout longer than Config.PeerTimeout for an entry that reports
// seldom.
func (l *Limiter) SetPeerTimeout(name string, timeout time.Duration) {
	if p := l.peers[name]; p != nil {
		p.timeout = timeout
	}
}

// adoptLevels takes over the levels of the first entry that reports. They may not contain
// what this entry has admitted since its start, which is therefore subtracted.
func (l *Limiter) adoptLevels(now time.Duration, levels map[string]float64) {
	if len(levels) == 0 {
		return
	}
	l.levelsAdopted = true
	for name, level := range levels {
		if b := l.buckets[name]; b != nil {
			l.refill(now, b)
			b.level = min(b.level, level-b.admitted)
		}
	}
}

// usableShare returns the fraction of the caps that this entry and the reachable others
// may use.
func (l *Limiter) usableShare(now time.Duration) float64 {
	reachable := 1
	for _, p := range l.peers {
		if now < p.lastReport+max(l.cfg.PeerTimeout, p.timeout) {
			reachable++
		}
	}
	return float64(reachable) / float64(len(l.peers)+1)
}

// refill adds what the cap allowed since the last refill, up to the usable share of the
// burst.
func (l *Limiter) refill(now time.Duration, b *bucket) {
	elapsed := (now - b.refilledAt).Seconds()
	b.refilledAt = now
	if elapsed <= 0 {
		return
	}
	share := l.usableShare(now)
	full := (b.cap.Burst + l.cfg.ExtraBurst) * share
	if b.level < full {
		b.level = min(b.level+elapsed*b.cap.Rate*share, full)
	}
}

// rankReserve is the fraction of a burst that each rank leaves to the more urgent ranks,
// up to maxRankReserve: while a cap is reached, the least urgent requests are refused
// first.
const (
	rankReserve    = 0.1
	maxRankReserve = 0.4
	// smallRequestShare is the fraction of a burst up to which a request is small. Small
	// requests hardly change the level, so they are admitted until the debt reaches
	// smallRequestDebt of the burst.
	smallRequestShare = 0.005
	smallRequestDebt  = 0.25
)

// minLevel returns the level above which the bucket must be to admit a request of this
// cost and rank.
func (b *bucket) minLevel(cost float64, rank int) float64 {
	if cost <= smallRequestShare*b.cap.Burst {
		return -smallRequestDebt * b.cap.Burst
	}
	return min(rankReserve*float64(max(rank, 0)), maxRankReserve) * b.cap.Burst
}

// Admit charges a request to an account; rank is its priority, 0 the most urgent. Where
// the account is over its cap, it returns false and the time after which the request
// would be admitted.
func (l *Limiter) Admit(now time.Duration, account string, cost float64, rank int) (time.Duration, bool) {
	b := l.buckets[account]
	if b == nil || b.cap.Rate <= 0 {
		return 0, true
	}
	l.refill(now, b)
	if !l.acquainted {
		return l.cfg.PeerTimeout, false // how many entries share the cap is not known
	}
	if l.starting(now) && b.level < cost {
		return l.untilHeard(now), false
	}
	if required := b.minLevel(cost, rank) * l.usableShare(now); b.level <= required {
		wait := (l.cfg.RetryLevel*b.cap.Rate + required - b.level) / (b.cap.Rate * l.usableShare(now))
		return time.Duration(wait * float64(time.Second)), false
	}
	// A request larger than the level is admitted and leaves a debt, so that large requests
	// are admitted as often as small ones.
	b.level -= cost
	b.admitted += cost
	return 0, true
}

// untilHeard returns after what time an entry that has just started knows more.
func (l *Limiter) untilHeard(now time.Duration) time.Duration {
	return min(l.cfg.PeerTimeout, l.acquaintedAt+startTime-now)
}

// Refund returns the charge of a request that never ran.
func (l *Limiter) Refund(account string, cost float64) {
	if b := l.buckets[account]; b != nil {
		// The reported counter only grows, so a refund is not passed on to the other entries.
		b.level += cost
	}
}

// Usage returns the counters to report to the other entries.
func (l *Limiter) Usage() Usage {
	usage := Usage{}
	for name, b := range l.buckets {
		if b.admitted > 0 {
			usage[name] = b.admitted
		}
	}
	return usage
}

// Levels returns the level of each bucket with a cap, by account name.
func (l *Limiter) Levels(now time.Duration) map[string]float64 {
	levels := map[string]float64{}
	for name, b := range l.buckets {
		if b.cap.Rate > 0 {
			l.refill(now, b)
			levels[name] = b.level
		}
	}
	return levels
}
