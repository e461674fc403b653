// Package registry grants the right to start a request whose ID its caller chose, so that
// repeated submissions of it through several entries start it once.
//
// Each agent has a Registrar, which decides on the IDs that rendezvous hashing assigns to
// it within its pool. It keeps its state in memory only: after a restart, or after a
// change of the pool's members moved an ID to it, it answers Unsure for that ID for one
// horizon. An entry that gets this answer waits for one grant lease and asks every agent
// of the pool, and each of them fences the ID: it refuses starts of it by other
// submissions. So a start that another registrar granted meanwhile is either found or
// refused.
//
// An agent that left the list may be suspended after it accepted a start. Therefore, for
// one horizon after it left, the answers of the remaining agents do not suffice to grant
// an ID.
package registry

import (
	"maps"
	"slices"
	"time"

	"primrosespoke.dev/coord/membership"
)

// Key names a request of one client account.
type Key struct {
	Account   string
	RequestID string
}

// Holder is who has the right to start a request.
type Holder struct {
	// Submission identifies one call at one incarnation of an entry.
	Submission string
	// Agent is the address of the agent that the request will be dispatched to.
	Agent string
	// Attempt counts from 1.
	Attempt uint32
}

// Verdict is the answer to a registration.
type Verdict int

// Verdicts.
const (
	// Granted gives the right to start the attempt.
	Granted Verdict = iota + 1
	// Held means that another submission has the right.
	Held
	// Unsure means that another submission may have it.
	Unsure
)

// Registration asks for the right to start a request.
type Registration struct {
	Key    Key
	Holder Holder
	// Located means that the entry has asked the whole pool, at least a grant lease after
	// this registrar's Unsure, and found no start.
	Located bool
}

// Config holds the settings of a Registrar.
type Config struct {
	// Self is the instance ID of the agent.
	Self string
	// Horizon is how long an ID is remembered. It exceeds the lifetime of any request.
	Horizon time.Duration
	// Lease is the longest grant lease of the pool's agents.
	Lease time.Duration
}

// Registrar is the registry's state at one agent. It is not safe for concurrent use.
type Registrar struct {
	cfg       Config
	started   time.Duration
	records   map[Key]record
	unsureAt  map[unsureKey]time.Duration // when Unsure was answered
	fences    map[Key]fence
	views     []view // oldest first; the last one is in force
	lastSweep time.Duration
}

// record is a right that was granted.
type record struct {
	holder Holder
	until  time.Duration
}

// unsureKey identifies a submission that was answered Unsure about a request.
type unsureKey struct {
	key        Key
	submission string
}

// fence reserves the starts of an ID at this agent for one submission.
type fence struct {
	submission string
	until      time.Duration
}

// view is the pool as listed from some time on.
type view struct {
	since  time.Duration
	agents []membership.Instance
}

// New returns the registrar of an agent that starts now.
func New(cfg Config, now time.Duration) *Registrar {
	return &Registrar{
		cfg:      cfg,
		started:  now,
		records:  map[Key]record{},
		unsureAt: map[unsureKey]time.Duration{},
		fences:   map[Key]fence{},
	}
}

// SetView sets the agents of the pool as they are listed now. Earlier views are kept for
// one horizon.
func (r *Registrar) SetView(now time.Duration, agents []membership.Instance) {
	if len(r.views) > 0 && sameIDs(r.views[len(r.views)-1].agents, agents) {
		return
	}
	r.views = append(r.views, view{since: now, agents: agents})
	for len(r.views) > 1 && r.views[1].since+r.cfg.Horizon < now {
		r.views = r.views[1:]
	}
}

// sameIDs reports whether two lists hold the same IDs in the same order.
func sameIDs(a, b []membership.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID {
			return false
		}
	}
	return true
}

// Register decides on a registration; Held and Unsure allow nothing. With Held, the
// returned Holder is the one that has the right.
func (r *Registrar) Register(now time.Duration, reg Registration) (Verdict, Holder) {
	r.sweep(now)
	if rec, ok := r.records[reg.Key]; ok && now < rec.until {
		if rec.holder.Submission != reg.Holder.Submission || reg.Holder.Attempt < rec.holder.Attempt {
			return Held, rec.holder
		}
		// A further attempt of the same submission, or a registration whose answer was lost: a
		// submission registers again only an attempt that it has not dispatched.
		return r.grant(now, reg)
	}
	if r.ownedForHorizon(now, reg.Key) {
		return r.grant(now, reg)
	}
	id := unsureKey{key: reg.Key, submission: reg.Holder.Submission}
	answeredAt, answered := r.unsureAt[id]
	if reg.Located && answered && now >= answeredAt+r.cfg.Lease && !r.agentLeft(now) {
		return r.grant(now, reg)
	}
	r.unsureAt[id] = now
	return Unsure, Holder{}
}

// grant records the holder for one horizon.
func (r *Registrar) grant(now time.Duration, reg Registration) (Verdict, Holder) {
	r.records[reg.Key] = record{holder: reg.Holder, until: now + r.cfg.Horizon}
	return Granted, reg.Holder
}

// ownedForHorizon reports whether this registrar was the only one responsible for the key
// during the last horizon, so that no other can have granted it.
func (r *Registrar) ownedForHorizon(now time.Duration, key Key) bool {
	if now < r.started+r.cfg.Horizon || len(r.views) == 0 || r.views[0].since > now-r.cfg.Horizon {
		return false
	}
	for _, v := range r.views {
		if first := Choose(key, v.agents); first.ID != r.cfg.Self {
			return false
		}
	}
	return true
}

// agentLeft reports whether an agent has left the list within the horizon. It may be
// suspended with a start that it has accepted and not yet sent, which no answer of the
// agents still listed covers.
func (r *Registrar) agentLeft(now time.Duration) bool {
	if len(r.views) == 0 {
		return false
	}
	current := r.views[len(r.views)-1].agents
	for i, v := range r.views[:len(r.views)-1] {
		if r.views[i+1].since+r.cfg.Horizon < now {
			continue
		}
		for _, agent := range v.agents {
			if !slices.ContainsFunc(current, func(a membership.Instance) bool { return a.ID == agent.ID }) {
				return true
			}
		}
	}
	return false
}

// Choose returns the agent of a pool that is the registrar of a key, or the zero Instance
// when there are no agents.
func Choose(key Key, agents []membership.Instance) membership.Instance {
	if len(agents) == 0 {
		return membership.Instance{}
	}
	return membership.Rendezvous(key.Account+"\x00"+key.RequestID, agents)[0]
}

// Fence records that a submission was told that the key was not started here. From then
// on, for one horizon, a start of the key by another submission is refused here. The
// newest fence replaces an earlier one: the entry of the earlier submission may have
// failed, and if it has not, its start is refused.
func (r *Registrar) Fence(now time.Duration, key Key, submission string) {
	r.sweep(now)
	r.fences[key] = fence{submission: submission, until: now + r.cfg.Horizon}
}

// MayStart reports whether a submission may start the key at this agent.
func (r *Registrar) MayStart(now time.Duration, key Key, submission string) bool {
	f, ok := r.fences[key]
	return !ok || now >= f.until || f.submission == submission
}

// sweepsPerHorizon is how often per horizon expired state is removed.
const sweepsPerHorizon = 16

// sweep removes the state that is older than the horizon.
func (r *Registrar) sweep(now time.Duration) {
	if now < r.lastSweep+r.cfg.Horizon/sweepsPerHorizon {
		return
	}
	r.lastSweep = now
	maps.DeleteFunc(r.records, func(_ Key, rec record) bool { return now >= rec.until })
	maps.DeleteFunc(r.fences, func(_ Key, f fence) bool { return now >= f.until })
	maps.DeleteFunc(r.unsureAt, func(_ unsureKey, answeredAt time.Duration) bool { return now >= answeredAt+r.cfg.Horizon })
}
