// Package staleness judges, within one process, how far it can rely on a list that it reads
// from a source at intervals, while other processes read the same list.
//
// The list names endpoints that must get no work once a bounded time has passed since they
// left it. A process that can't read for a while does not know who left. It must not take its
// own failure for an outage of the source: in an outage records may expire although their
// endpoints live, and nobody can tell who left, so work goes on with the list as it was. A
// process that alone can't read, behind a full link for instance, would keep endpoints that
// all others have dropped. So the processes tell each other how old their lists are and
// since when they have been read without a gap, and one process's reads are evidence for all.
//
// The package has no I/O, clock or goroutine. Times are offsets on a single clock that the
// caller chooses; what another process reports are durations, since clocks differ.
package staleness

import (
	"sort"
	"time"
)

// Config holds the settings of a Monitor.
type Config struct {
	// MaxAge is the age up to which the list is relied on without further evidence.
	MaxAge time.Duration
	// OutageGap is the time between two confirmations of the list from which on its records
	// may have expired in an outage.
	OutageGap time.Duration
}

// Report is what one process tells the others about its list.
type Report struct {
	// Age is the time since the list was known to be complete.
	Age time.Duration
	// Steady is the time for which the list has been confirmed with gaps below OutageGap
	// only; 0 = it is not confirmed now.
	Steady time.Duration
}

// Gap is a time in which the list was not confirmed.
type Gap struct {
	// From and To are the times up to which the list was known to be complete before and
	// after the gap.
	From, To time.Duration
}

// peer is the last report of another process, in times of this one. The time that the report
// travelled makes both times later than they are.
type peer struct {
	asOf        time.Duration
	steadySince time.Duration
	steady      bool
}

// Verdict says whether work may be placed by the list.
type Verdict int

// Verdicts.
const (
	// Reliable: the list is recent enough.
	Reliable Verdict = iota + 1
	// SourceOut: the list is old, and so is that of every other process that reports. Nobody
	// can tell what changed, so the list is used as it was.
	SourceOut
	// Unreliable: the list is old, while the source can be read, or may well be: no read of it
	// has failed yet, or another process read it after one had failed here.
	Unreliable
)

// evidenceMargin is how much later than the first failed read here another process must have
// read the list for its read to show that the source is up. It covers the time that a report
// travels, by which the read seems later than it was.
const evidenceMargin = 50 * time.Millisecond

// Monitor tracks how this process and the others read one list. It is used by one goroutine.
type Monitor struct {
	cfg          Config
	confirmed    bool          // the list was read at least once
	asOf         time.Duration // up to which the list is known to be complete
	steadySince  time.Duration // of the first confirmation after the last gap
	failing      bool          // reads of the source fail since the last confirmation
	failingSince time.Duration // when the first of these reads was sent
	gap          Gap           // the last one in which reads of the source failed
	hadGap       bool
	peers        map[string]peer
}

// New returns a monitor of a list that was never read.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, peers: map[string]peer{}}
}

// Confirm records that the list is known to be complete as of a time. It reports whether
// this ended a gap in which reads of the source failed, so that records may have expired;
// see Witness.
func (m *Monitor) Confirm(asOf time.Duration) (gapEnded bool) {
	if m.confirmed && asOf <= m.asOf {
		return false
	}
	switch {
	case !m.confirmed:
		m.steadySince = asOf
	case asOf-m.asOf >= m.cfg.OutageGap:
		m.steadySince = asOf
		if gapEnded = m.failing; gapEnded {
			m.gap, m.hadGap = Gap{From: m.asOf, To: asOf}, true
		}
	}
	m.confirmed, m.asOf, m.failing = true, asOf, false
	return gapEnded
}

// Failed records that a read of the source itself, sent at a time, failed.
func (m *Monitor) Failed(sentAt time.Duration) {
	if !m.failing && sentAt > m.asOf {
		m.failing, m.failingSince = true, sentAt
	}
}

// SetPeer records the report of another process.
func (m *Monitor) SetPeer(now time.Duration, name string, r Report) {
	m.peers[name] = peer{asOf: now - r.Age, steadySince: now - r.Steady, steady: r.Steady > 0}
}

// RetainPeers forgets the reports of all other processes for which keep returns false.
func (m *Monitor) RetainPeers(keep func(name string) bool) {
	for name := range m.peers {
		if !keep(name) {
			delete(m.peers, name)
		}
	}
}

// Age returns the time since the list was known to be complete, and false if it was never
// read.
func (m *Monitor) Age(now time.Duration) (time.Duration, bool) {
	return now - m.asOf, m.confirmed
}

// Assess returns whether work may be placed by the list now. For an unreliable list it also
// names a process that has read the list since reads failed here, if there is one.
func (m *Monitor) Assess(now time.Duration) (v Verdict, readBy string) {
	if !m.confirmed || now-m.asOf <= m.cfg.MaxAge {
		return Reliable, "" // a list that was never read names no endpoint to place work at
	}
	if !m.failing {
		return Unreliable, ""
	}
	for _, name := range m.Freshest(now, m.cfg.MaxAge, 1) {
		if m.peers[name].asOf > m.failingSince+evidenceMargin {
			return Unreliable, name
		}
	}
	return SourceOut, ""
}

// Freshest returns up to limit other processes whose lists are not older than maxAge, the
// most recent one first.
func (m *Monitor) Freshest(now, maxAge time.Duration, limit int) []string {
	var names []string
	for name, p := range m.peers {
		if now-p.asOf <= maxAge {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := m.peers[names[i]].asOf, m.peers[names[j]].asOf
		return a > b || a == b && names[i] < names[j]
	})
	return names[:min(limit, len(names))]
}

// Report returns what this process tells the others, and false if it never read the list.
func (m *Monitor) Report(now time.Duration) (Report, bool) {
	r := Report{Age: now - m.asOf}
	if r.Age < m.cfg.OutageGap {
		r.Steady = now - m.steadySince
	}
	return r, m.confirmed
}

// LastGap returns the last gap in which reads of the source failed.
func (m *Monitor) LastGap() (Gap, bool) {
	return m.gap, m.hadGap
}

// Witness returns a process that read the list throughout the last gap: it has had no gap of
// its own since less than OutageGap after that one began, and had read the list up to less
// than OutageGap before the gap's end. So the source was not out for as long as OutageGap,
// and a record that is gone was removed. Without a witness, records may have expired in an
// outage.
func (m *Monitor) Witness() (name string, ok bool) {
	if !m.hadGap {
		return "", false
	}
	var names []string
	for name, p := range m.peers {
		if p.steady && p.steadySince < m.gap.From+m.cfg.OutageGap && p.asOf > m.gap.To-m.cfg.OutageGap {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	sort.Strings(names)
	return names[0], true
}
