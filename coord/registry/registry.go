// Package registry gives the right to start a request whose ID its caller chose,
// so that repeats of it through several entries start it once.
//
// A Registrar answers for the IDs that rendezvous hashing gives it within its
// pool. What it keeps is soft: after a restart, or after a change of the pool's
// members moved an ID to it, it is unsure of that ID for one horizon. An entry
// that is told so waits for one grant lease and asks every agent of the pool,
// and each of them fences the ID: it refuses starts of it for other entries. So
// a start that another registrar allowed meanwhile is either found or refused.
//
// An agent that left the list may be suspended with a start that it has taken in,
// so for one horizon no ID is granted on the word of the agents that remain.
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
	// Submission names one call at one incarnation of an entry.
	Submission string
	// Agent is the address of the agent that it will be dispatched to.
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

// Registration asks for the right to start.
type Registration struct {
	Key    Key
	Holder Holder
	// Located says that the entry has asked the whole pool since this registrar's
	// Unsure, at least a grant lease after it, and found no start.
	Located bool
}

// Config holds the settings of a Registrar.
type Config struct {
	// Self is the instance ID of the agent.
	Self string
	// Horizon is how long an ID is remembered. It exceeds the life of any request.
	Horizon time.Duration
	// Lease is the longest grant lease of the pool's agents.
	Lease time.Duration
}

// Registrar is the part of one agent. It is not safe for concurrent use.
type Registrar struct {
	cfg     Config
	started time.Duration
	records map[Key]record
	unsure  map[question]time.Duration // when Unsure was answered
	fences  map[Key]fence
	views   []view // oldest first; the last one is in force
	swept   time.Duration
}

// record is a right that was given.
type record struct {
	holder Holder
	until  time.Duration
}

// question identifies who was told Unsure about what.
type question struct {
	key   Key
	entry string
}

// fence reserves the starts of an ID at this agent for one entry.
type fence struct {
	entry string
	until time.Duration
}

// view is what the list said of the pool from some time on.
type view struct {
	since  time.Duration
	agents []membership.Instance
}

// New returns the registrar of an agent that starts now.
func New(cfg Config, now time.Duration) *Registrar {
	return &Registrar{
		cfg:     cfg,
		started: now,
		records: map[Key]record{},
		unsure:  map[question]time.Duration{},
		fences:  map[Key]fence{},
	}
}

// SetView tells the agents of the pool, as listed.
func (r *Registrar) SetView(now time.Duration, agents []membership.Instance) {
	if len(r.views) > 0 && sameIDs(r.views[len(r.views)-1].agents, agents) {
		return
	}
	r.views = append(r.views, view{since: now, agents: agents})
	for len(r.views) > 1 && r.views[1].since+r.cfg.Horizon < now {
		r.views = r.views[1:]
	}
}

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

// Register answers a question. Held and Unsure allow nothing. The Holder is that of the
// record when the verdict is Held.
func (r *Registrar) Register(now time.Duration, q Registration) (Verdict, Holder) {
	r.sweep(now)
	if rec, ok := r.records[q.Key]; ok && now < rec.until {
		if rec.holder.Submission != q.Holder.Submission || q.Holder.Attempt < rec.holder.Attempt {
			return Held, rec.holder
		}
		// A further attempt of the same submission, or a question whose answer was lost: a
		// submission asks again only for an attempt that it has not dispatched.
		return r.grant(now, q)
	}
	if r.sure(now, q.Key) {
		return r.grant(now, q)
	}
	asked := question{key: q.Key, entry: q.Holder.Submission}
	told, known := r.unsure[asked]
	if q.Located && known && now >= told+r.cfg.Lease && !r.departed(now) {
		return r.grant(now, q)
	}
	r.unsure[asked] = now
	return Unsure, Holder{}
}

func (r *Registrar) grant(now time.Duration, q Registration) (Verdict, Holder) {
	r.records[q.Key] = record{holder: q.Holder, until: now + r.cfg.Horizon}
	return Granted, q.Holder
}

// sure tells whether nobody else can have registered the key within the horizon.
func (r *Registrar) sure(now time.Duration, key Key) bool {
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

// departed tells whether an agent has left the list within the horizon. It may be
// suspended with a start that it has taken in and not yet sent, and no answer of
// the agents still listed covers that one.
func (r *Registrar) departed(now time.Duration) bool {
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

// Choose returns the agent that is the registrar of a key among a pool's agents;
// the zero Instance when there are none.
func Choose(key Key, agents []membership.Instance) membership.Instance {
	if len(agents) == 0 {
		return membership.Instance{}
	}
	return membership.Rendezvous(key.Account+"\x00"+key.RequestID, agents)[0]
}

// Fence notes that an entry was told that the key was not started here. From
// then on, for one horizon, nobody else's start of the key is allowed here. The
// newest fence holds: an earlier entry may have died, and if it has not, its
// start is refused.
func (r *Registrar) Fence(now time.Duration, key Key, entry string) {
	r.sweep(now)
	r.fences[key] = fence{entry: entry, until: now + r.cfg.Horizon}
}

// MayStart tells whether an entry may start the key at this agent.
func (r *Registrar) MayStart(now time.Duration, key Key, entry string) bool {
	f, ok := r.fences[key]
	return !ok || now >= f.until || f.entry == entry
}

// sweepShare is the part of the horizon between two sweeps.
const sweepShare = 16

// sweep forgets what is older than the horizon.
func (r *Registrar) sweep(now time.Duration) {
	if now < r.swept+r.cfg.Horizon/sweepShare {
		return
	}
	r.swept = now
	maps.DeleteFunc(r.records, func(_ Key, rec record) bool { return now >= rec.until })
	maps.DeleteFunc(r.fences, func(_ Key, f fence) bool { return now >= f.until })
	maps.DeleteFunc(r.unsure, func(_ question, told time.Duration) bool { return now >= told+r.cfg.Horizon })
}
