// Package shed decides when an entry may shed a request: only while nothing of a
// lower tier is in service in the request's pool, at any agent and for any entry,
// and nothing of a lower tier will start.
//
// A Requester obtains a permit to shed in a round of questions to the agents and
// then to the entries of the pool. Each of them is a witness: it replies whether
// a lower tier is in service there, and if none is, it promises to start none for
// one lease. This promise is called a floor. A request in service has two
// witnesses, the agent that runs it and the entry that holds its caller's
// connection. An entry promises more: until the lease ends it starts nothing of a
// lower tier at an agent that the round did not reach. Unreachable agents are
// therefore covered when every entry answers, and unreachable entries when every
// agent answers.
//
// The reply of a restarted agent does not cover what its earlier incarnation left
// running in the engine. Every entry must then answer too, and none of them may
// have restarted itself within the longest time that such a run can last.
//
// The requester counts the lease from before its first question and a witness
// from its reply, each on its own clock, so the promises outlast the permit.
//
// A restart loses the floors. The new incarnation therefore starts nothing of any
// tier until the longest lease has passed: which tiers a floor allowed depended on
// the table of that time, which the new incarnation may not know.
//
// Not covered: a request from an entry that no member of the round knows, at an
// agent that is unreachable or has restarted.
package shed

import (
	"slices"
	"time"
)

// Ranks gives the rank of each tier in one version of the table; 0 is the most urgent.
type Ranks map[string]int

// mayBeLower reports whether a tier is or may be less urgent than another. It is
// true if the table lacks either of them.
func (r Ranks) mayBeLower(tier, than string) bool {
	rank, known := r[tier]
	limit, limitKnown := r[than]
	return !known || !limitKnown || rank > limit
}

// Question asks a witness whether a lower tier is in service there, and for the
// promise to start none.
type Question struct {
	Pool string
	// Tier is the tier to be shed; nothing of a lower one may be in service.
	Tier string
	// Version is the requester's version of the table.
	Version int64
	// Lease is how long the promise must last.
	Lease time.Duration
	// Agents and Entries are all members that the requester knows.
	Agents, Entries []string
	// Reached are the incarnations of the agents that have answered clear in this
	// round. An entry does not report its own requests in service there, nor refuse
	// to start requests there, since those agents answer for them.
	Reached []string
}

// Reply is a witness's answer to a Question.
type Reply struct {
	// Incarnation identifies the witness's process since its last start. The caller
	// of AnswerAsAgent or AnswerAsEntry sets it.
	Incarnation string
	// RecentlyRestarted means that requests of an earlier incarnation, unknown to
	// this one, may still be in service.
	RecentlyRestarted bool
	// Clear means that no lower tier is in service at this witness and that it will
	// start none for the lease.
	Clear bool
	// LowerTier is a lower tier that is in service, if Clear is false for that reason.
	LowerTier string
	// UnknownAgents and UnknownEntries are members that this witness knows and the
	// question does not list.
	UnknownAgents, UnknownEntries []string
	// Version is the witness's version of the table.
	Version int64
}

// LocalState is what a witness's process knows when a question arrives.
type LocalState struct {
	// Version and Ranks are those of the table in force in this process.
	Version int64
	Ranks   Ranks
	// Serving are the tiers of the requests in service in the pool, and of those
	// that may start without another call of MayStart.
	Serving []string
	// Agents and Entries are the members of the pool that the witness knows.
	Agents, Entries []string
}

// Witness keeps the floors of one process and enforces them. It is not safe for
// concurrent use.
type Witness struct {
	maxLease         time.Duration
	holdEnd          time.Duration // nothing starts earlier
	restartWindowEnd time.Duration // requests of an earlier incarnation may run until then
	floors           []floor
}

// floor is a promise to start nothing of a tier lower than the given one in a pool.
type floor struct {
	pool    string
	tier    string
	ranks   Ranks // of the table at the time of the promise
	until   time.Duration
	reached []string // incarnations of agents that made the same promise; Question.Reached
	entry   bool     // made by an entry
}

// WitnessConfig holds the settings of a Witness.
type WitnessConfig struct {
	// MaxLease is the longest lease for which a promise is made; the same in every process.
	MaxLease time.Duration
	// Hold is how long nothing may start after the process has started: MaxLease,
	// or 0 where no earlier incarnation can have promised anything.
	Hold time.Duration
	// RestartWindow is how long after the start requests of an earlier incarnation
	// may still be in service; 0 where there is no earlier incarnation.
	RestartWindow time.Duration
}

// NewWitness returns the witness of a process that starts now.
func NewWitness(cfg WitnessConfig, now time.Duration) *Witness {
	return &Witness{maxLease: cfg.MaxLease, holdEnd: now + cfg.Hold, restartWindowEnd: now + cfg.RestartWindow}
}

// AnswerAsAgent answers a question to an agent.
func (w *Witness) AnswerAsAgent(now time.Duration, q Question, s LocalState) Reply {
	return w.answer(now, q, s, false)
}

// AnswerAsEntry answers a question to an entry.
func (w *Witness) AnswerAsEntry(now time.Duration, q Question, s LocalState) Reply {
	return w.answer(now, q, s, true)
}

func (w *Witness) answer(now time.Duration, q Question, s LocalState, entry bool) Reply {
	reply := Reply{
		Version:           s.Version,
		RecentlyRestarted: now < w.restartWindowEnd,
		UnknownAgents:     missing(s.Agents, q.Agents),
		UnknownEntries:    missing(s.Entries, q.Entries),
	}
	if q.Version != s.Version || q.Lease > w.maxLease {
		return reply
	}
	for _, tier := range s.Serving {
		if s.Ranks.mayBeLower(tier, q.Tier) {
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

// missing returns the IDs that are in have and not in known.
func missing(have, known []string) []string {
	var lacks []string
	for _, id := range have {
		if !slices.Contains(known, id) {
			lacks = append(lacks, id)
		}
	}
	return lacks
}

// MayStart reports whether a request of a tier may start in a pool. An entry names
// the incarnation of the agent at which it would start. The ranks are those of the
// table in force.
func (w *Witness) MayStart(now time.Duration, pool, agent, tier string, ranks Ranks) bool {
	if now < w.holdEnd {
		return false
	}
	for _, f := range w.floors {
		if now >= f.until || f.pool != pool || f.entry && slices.Contains(f.reached, agent) {
			continue
		}
		if f.ranks.mayBeLower(tier, f.tier) || ranks.mayBeLower(tier, f.tier) {
			return false
		}
	}
	return true
}
