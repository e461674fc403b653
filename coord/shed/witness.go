// Package shed decides when a request may be shed: only while nothing less
// urgent is in service in its pool, in any agent and for any entry, and nothing
// less urgent will start.
//
// A requester asks for a permit by a round over the agents and entries of the
// pool. Each is a witness: it says that nothing lower is in service with it, and
// promises by a floor that none will start for one lease. A request in service
// has two witnesses, the agent that runs it and the entry that holds its caller.
// Entries promise more: until the lease ends they start nothing lower at an agent
// that the round did not reach. So agents that don't answer are covered when
// every entry answers, and entries that don't answer when every agent does.
//
// The word of an agent that has restarted does not cover what its earlier
// incarnation left running in the engine; then every entry must answer too, and
// none of them may have restarted within that time itself.
//
// The requester counts the lease from before its first question, a witness from
// its answer, each on its own clock, so the promises outlast the permit.
//
// A floor is lost by a restart. The new incarnation therefore starts nothing at
// all until the longest lease has passed: which tiers the floor allowed depends on
// the table of its time, which the new one may not know.
//
// Not covered: an entry that no member of the round knows, at an agent that the
// round can't reach or that has restarted.
package shed

import (
	"slices"
	"time"
)

// Ranks gives the rank of each tier in one version of the table; 0 is the most urgent.
type Ranks map[string]int

// lower tells whether a tier may be less urgent than the given one; a tier that
// the table lacks may be.
func (r Ranks) lower(tier, than string) bool {
	rank, known := r[tier]
	limit, limitKnown := r[than]
	return !known || !limitKnown || rank > limit
}

// Question asks a witness for its word.
type Question struct {
	Pool string
	// Tier is the one that may be shed: nothing lower may be in service.
	Tier string
	// Version is the requester's version of the table.
	Version int64
	// Lease is how long the promise must hold.
	Lease time.Duration
	// Agents and Entries are all members that the requester knows.
	Agents, Entries []string
	// Reached are the incarnations of the agents that have said clear in this
	// round. An entry relies on their word for what it has in service there.
	Reached []string
}

// Reply is a witness's word.
type Reply struct {
	// Incarnation is the witness's.
	Incarnation string
	// RecentlyRestarted: work of an earlier incarnation may still be in service here, unknown
	// to this one.
	RecentlyRestarted bool
	// Clear: nothing lower is in service here and none will start for the lease.
	Clear bool
	// LowerTier is what is in service.
	LowerTier string
	// UnknownAgents and UnknownEntries are members that the question lacks.
	UnknownAgents, UnknownEntries []string
	// Version is the witness's version of the table.
	Version int64
}

// LocalState is what a witness sees when it is asked.
type LocalState struct {
	// Version and Ranks are those of the table in force here.
	Version int64
	Ranks   Ranks
	// Serving are the tiers of what is in service in the pool, and of what may
	// start without MayStart being asked again.
	Serving []string
	// Agents and Entries are the members of the pool that the witness knows.
	Agents, Entries []string
}

// Witness keeps the floors of one process. It is not safe for concurrent use.
type Witness struct {
	maxLease time.Duration
	holdEnd  time.Duration
	freshEnd time.Duration
	floors   []floor
}

// floor is one promise.
type floor struct {
	pool    string
	tier    string
	ranks   Ranks
	until   time.Duration
	reached []string // incarnations of agents that keep floors of their own
	entry   bool
}

// WitnessConfig holds the settings of a Witness.
type WitnessConfig struct {
	// MaxLease is the longest lease of a promise; the same in every process.
	MaxLease time.Duration
	// Hold is how long nothing may start after the process has started: MaxLease,
	// or 0 where no earlier incarnation can have promised anything.
	Hold time.Duration
	// RestartWindow is how long work of an earlier incarnation may go on; 0 where there is none.
	RestartWindow time.Duration
}

// NewWitness returns the witness of a process that starts now.
func NewWitness(cfg WitnessConfig, now time.Duration) *Witness {
	return &Witness{maxLease: cfg.MaxLease, holdEnd: now + cfg.Hold, freshEnd: now + cfg.RestartWindow}
}

// AnswerAsAgent answers for an agent.
func (w *Witness) AnswerAsAgent(now time.Duration, q Question, s LocalState) Reply {
	return w.ask(now, q, s, false)
}

// AnswerAsEntry answers for an entry.
func (w *Witness) AnswerAsEntry(now time.Duration, q Question, s LocalState) Reply {
	return w.ask(now, q, s, true)
}

func (w *Witness) ask(now time.Duration, q Question, s LocalState, entry bool) Reply {
	reply := Reply{
		Version:        s.Version,
		RecentlyRestarted:          now < w.freshEnd,
		UnknownAgents:  missing(s.Agents, q.Agents),
		UnknownEntries: missing(s.Entries, q.Entries),
	}
	if q.Version != s.Version || q.Lease > w.maxLease {
		return reply
	}
	for _, tier := range s.Serving {
		if s.Ranks.lower(tier, q.Tier) {
			reply.LowerTier = tier
			return reply
		}
	}
	reply.Clear = true
	w.floors = slices.DeleteFunc(w.floors, func(f floor) bool { return now >= f.until })
	w.floors = append(w.floors, floor{
		pool: q.Pool, tier: q.Tier, ranks: s.Ranks, until: now + q.Lease, reached: q.Reached, entry: entry,
	})
	return reply
}

// missing returns what is in have and not in known.
func missing(have, known []string) []string {
	var lacks []string
	for _, id := range have {
		if !slices.Contains(known, id) {
			lacks = append(lacks, id)
		}
	}
	return lacks
}

// MayStart tells whether work of a tier may start in a pool; for an entry, at the
// given incarnation of an agent. The ranks are those of the table in force.
func (w *Witness) MayStart(now time.Duration, pool, agent, tier string, ranks Ranks) bool {
	if now < w.holdEnd {
		return false
	}
	for _, f := range w.floors {
		if now >= f.until || f.pool != pool || f.entry && slices.Contains(f.reached, agent) {
			continue
		}
		if f.ranks.lower(tier, f.tier) || ranks.lower(tier, f.tier) {
			return false
		}
	}
	return true
}
