// Package allowance keeps client accounts within usage caps that hold for the sum
// over all entries.
//
// Each entry holds a replica of every account's token bucket. It charges its own
// admissions at once and the others' as they report them, as counters that only
// grow, so a lost report is made good by the next one. An entry that has not been
// heard from may be spending its even part of the cap: its peers leave that part
// alone, and an entry that hears nobody keeps to its own. So the parts of any
// partition add up to the cap. What was admitted twice while reports were on their
// way is a debt that the bucket pays back.
//
// It answers a load in which one account sends many times its cap through few
// entries: even shares alone would waste the cap of the entries it does not use.
package allowance

import (
	"time"
)

// Config holds the settings of a Ledger.
type Config struct {
	// PeerTimeout is how long an entry may be unheard before its part is left to it.
	PeerTimeout time.Duration
	// ExtraBurst is added to each bucket, in the unit of the caps. It covers the delay of reports.
	ExtraBurst float64
	// InitialFill is the part of a full bucket that an entry starts with: what was
	// spent before its start is unknown.
	InitialFill float64
	// RetryLevel is the level, in seconds of a cap's rate, at which a refused request is asked back.
	RetryLevel float64
}

// Cap is the usage cap of one account.
type Cap struct {
	// Rate is a second's usage and Burst what may come at once; Rate 0 = no cap.
	Rate, Burst float64
}

// Usage is what one entry has admitted since its start, by account.
type Usage map[string]float64

type bucket struct {
	cap   Cap
	level float64
	at    time.Duration
	spent float64
}

type peer struct {
	incarnation string
	heard       time.Duration
	silence     time.Duration // where it reports seldom; 0 = Config.Silence
	usage       Usage
}

// Limiter is the state of one entry. It is used by one goroutine.
type Limiter struct {
	cfg     Config
	buckets map[string]*bucket
	peers   map[string]*peer
	adopted bool
}

// New returns a ledger without accounts.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// SetCaps puts the caps of a configuration in force.
func (l *Limiter) SetCaps(now time.Duration, caps map[string]Cap) {
	for name, b := range l.buckets {
		if _, ok := caps[name]; !ok {
			b.cap = Cap{}
		}
	}
	for name, c := range caps {
		b, ok := l.buckets[name]
		if !ok {
			b = &bucket{level: l.cfg.InitialFill * c.Burst, at: now}
			l.buckets[name] = b
		}
		l.refill(now, b)
		if b.cap != c {
			b.cap = c
			b.level = min(b.level, c.Burst+l.cfg.ExtraBurst)
		}
	}
}

// SetPeers names the other entries, reachable or not.
func (l *Limiter) SetPeers(now time.Duration, names []string) {
	kept := map[string]*peer{}
	for _, name := range names {
		p := l.peers[name]
		if p == nil {
			p = &peer{heard: now - l.cfg.PeerTimeout}
		}
		kept[name] = p
	}
	l.peers = kept
}

// ReceiveReport takes in what another entry has admitted since its start, and the levels of its buckets.
func (l *Limiter) ReceiveReport(now time.Duration, from, incarnation string, usage Usage, levels map[string]float64) {
	p := l.peers[from]
	if p == nil {
		p = &peer{}
		l.peers[from] = p
	}
	known := p.usage
	if p.incarnation != incarnation {
		// Without an earlier report the difference is unknown; a bucket's level carries it.
		known = usage
		if p.incarnation != "" {
			known = Usage{}
		}
	}
	if !l.adopted {
		l.adopt(now, levels)
	}
	for name, total := range usage {
		if b := l.buckets[name]; b != nil && total > known[name] {
			l.refill(now, b)
			b.level -= total - known[name]
		}
	}
	p.incarnation, p.heard, p.usage = incarnation, now, usage
}

// SetPeerTimeout gives an entry that reports seldom more time than Config.Silence.
func (l *Limiter) SetPeerTimeout(name string, silence time.Duration) {
	if p := l.peers[name]; p != nil {
		p.silence = silence
	}
}

// adopt takes over the levels of the first entry that reports. They need not hold
// what this entry has spent since its start.
func (l *Limiter) adopt(now time.Duration, levels map[string]float64) {
	if len(levels) == 0 {
		return
	}
	l.adopted = true
	for name, level := range levels {
		if b := l.buckets[name]; b != nil {
			l.refill(now, b)
			b.level = min(b.level, level-b.spent)
		}
	}
}

// part returns the share of the caps that this entry and those it hears may use.
func (l *Limiter) part(now time.Duration) float64 {
	heard := 1
	for _, p := range l.peers {
		if now < p.heard+max(l.cfg.PeerTimeout, p.silence) {
			heard++
		}
	}
	return float64(heard) / float64(len(l.peers)+1)
}

func (l *Limiter) refill(now time.Duration, b *bucket) {
	elapsed := (now - b.at).Seconds()
	b.at = now
	if elapsed <= 0 {
		return
	}
	part := l.part(now)
	full := (b.cap.Burst + l.cfg.ExtraBurst) * part
	if b.level < full {
		b.level = min(b.level+elapsed*b.cap.Rate*part, full)
	}
}

// rankReserve is the part of a burst that each rank leaves to the ranks above it, up
// to maxReserve: while a cap binds, the least urgent requests are refused first.
const (
	rankReserve = 0.1
	maxReserve  = 0.4
	// smallShare is the part of a burst below which a request is small. Small requests
	// hardly count, so they pass until smallDebt of the burst is owed.
	smallShare = 0.005
	smallDebt  = 0.25
)

// floor is the level that a bucket must be above for a request of some rank.
func (b *bucket) floor(cost float64, rank int) float64 {
	if cost <= smallShare*b.cap.Burst {
		return -smallDebt * b.cap.Burst
	}
	return min(rankReserve*float64(max(rank, 0)), maxReserve) * b.cap.Burst
}

// Admit charges a request to an account; rank is its urgency, 0 the most urgent. Where
// the account is over its cap it returns false and the time after which the request would fit.
func (l *Limiter) Admit(now time.Duration, account string, cost float64, rank int) (time.Duration, bool) {
	b := l.buckets[account]
	if b == nil || b.cap.Rate <= 0 {
		return 0, true
	}
	l.refill(now, b)
	if floor := b.floor(cost, rank) * l.part(now); b.level <= floor {
		wait := (l.cfg.RetryLevel*b.cap.Rate + floor - b.level) / (b.cap.Rate * l.part(now))
		return time.Duration(wait * float64(time.Second)), false
	}
	// A request larger than the level leaves a debt, so that large ones pass as often as small ones.
	b.level -= cost
	b.spent += cost
	return 0, true
}

// Refund takes a charge back for a request that never ran.
func (l *Limiter) Refund(account string, cost float64) {
	if b := l.buckets[account]; b != nil {
		// The counter that others see only grows; what is refunded is kept by this entry.
		b.level += cost
	}
}

// Usage returns the counters to report.
func (l *Limiter) Usage() Usage {
	usage := Usage{}
	for name, b := range l.buckets {
		if b.spent > 0 {
			usage[name] = b.spent
		}
	}
	return usage
}

// Levels returns the level of each bucket with a cap.
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
