package claim_test

import (
	"testing"
	"time"

	"primrosespoke.dev/coord/claim"
)

// TestKeyExecutesAtMostOnceInScriptedFaults runs short sequences of faults that the
// random test seldom generates. The checks of the simulation apply to them too: no
// key is executed twice within the horizon.
func TestKeyExecutesAtMostOnceInScriptedFaults(t *testing.T) {
	const ms = time.Millisecond
	for name, script := range map[string]func(s *simulation, a, b, c *claimant){
		"a process starts after the log trimmed a claim": func(s *simulation, a, _, c *claimant) {
			s.checkClaimable(a, 0, "at first")
			s.earliest = int64(len(s.log))
			s.restart(c)
			s.start(c, 0, 0)
			s.settle(50 * ms)
			s.start(c, 0, 0)
			s.settle(50 * ms)
		},
		"a snapshot that lacks a trimmed claim": func(s *simulation, a, b, c *claimant) {
			s.checkClaimable(a, 1, "at first")
			s.now += 250 * ms
			s.read(a, 10)
			s.deliver(a) // the snapshot is now being appended
			s.start(b, 0, 0)
			s.appendWithResult(b, "taken")
			s.read(b, 10)
			s.deliver(b)
			s.execute(b)
			s.finishAppend(a, "taken")
			s.earliest = int64(len(s.log)) - 1
			s.restart(c)
			s.read(c, 10)
			s.deliver(c)
			s.start(c, 0, 0)
			s.settle(50 * ms)
		},
		"claims read after a gap, decided by claims before it": func(s *simulation, a, b, c *claimant) {
			s.setUpMissedClaim(a, b, c)
			s.start(c, 0, 0)
			s.settle(50 * ms)
		},
		"a snapshot by a reader that can't know a key's claim": func(s *simulation, a, b, c *claimant) {
			s.setUpMissedClaim(a, b, c)
			s.step(c, claim.SetSnapshotWriter{Chosen: true})
			s.now += 200 * ms
			s.read(c, 10)
			s.deliver(c)
			if c.appending != nil {
				s.earliest = int64(len(s.log))
				s.finishAppend(c, "taken")
			}
			s.restart(b)
			s.read(b, 10)
			s.deliver(b)
			s.start(b, 0, 0)
			s.settle(50 * ms)
		},
		"a key with a creation time, claimed late by a reader that lags": func(s *simulation, a, b, _ *claimant) {
			s.createdMS[2] = s.now.Milliseconds()
			b.frozen = true
			s.checkClaimable(a, 2, "at first")
			s.now += 200 * ms
			s.read(b, 0)
			s.deliver(b)
			s.now += 850 * ms
			s.start(b, 2, 0)
			s.appendWithResult(b, "taken")
			b.frozen = false
			s.settle(50 * ms)
		},
		"a claim appended again after it expired": func(s *simulation, a, _, _ *claimant) {
			s.start(a, 0, 0)
			s.appendWithResult(a, "taken twice")
			s.settle(50 * ms)
			s.now += 1100 * ms
			s.settle(50 * ms)
			s.now += 1100 * ms
			s.settle(50 * ms)
			s.appendToLog(s.delayedAppends[0])
			s.settle(10 * ms)
			s.checkClaimable(a, 0, "after the horizon")
		},
		"a claim read back after its deadline": func(s *simulation, a, b, _ *claimant) {
			id := s.start(a, 0, 0)
			s.appendWithResult(a, "taken")
			s.read(a, 10)
			s.now += 10 * time.Second // the process is frozen between claim and run
			s.deliver(a)
			if s.calls[id].ended != string(claim.NotRun) {
				s.t.Fatalf("the late call ended with %q", s.calls[id].ended)
			}
			s.settle(50 * ms)
			s.checkClaimable(b, 0, "after its release")
		},
		"the log is unavailable": func(s *simulation, a, _, _ *claimant) {
			s.step(a, claim.ReadFailed{})
			if id := s.start(a, 0, 0); s.calls[id].ended != string(claim.NotRun) {
				s.t.Fatalf("a call in an outage was not refused at once")
			}
			s.settle(50 * ms)
			s.checkClaimable(a, 0, "after the outage")
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t)
			s.settle(20 * ms)
			script(s, s.claimants[0], s.claimants[1], s.claimants[2])
		})
	}
}

// appendWithResult lets a claimant append its batch and ends the append; see finishAppend.
func (s *simulation) appendWithResult(c *claimant, fate string) {
	s.now += 6 * time.Millisecond
	s.step(c, claim.Tick{})
	s.finishAppend(c, fate)
}

// setUpMissedClaim ends with a live claim of key 0 by a. Claimant c has read only the
// end of the log and missed an earlier claim of a, to which b's claim lost, so that
// b's claim looks like the first.
func (s *simulation) setUpMissedClaim(a, b, c *claimant) {
	const ms = time.Millisecond
	s.start(b, 0, 0)
	s.appendWithResult(b, "late")
	b.frozen = true
	s.checkClaimable(a, 0, "at first")
	s.now += 440 * ms
	s.earliest = int64(len(s.log))
	s.appendToLog(s.delayedAppends[0])
	s.restart(c)
	s.read(c, 10)
	s.deliver(c)
	s.now += 510 * ms
	s.read(a, 100)
	s.deliver(a)
	s.start(a, 0, 0)
	s.appendWithResult(a, "refused") // a snapshot, from which c would learn of the claim
	s.now += 20 * ms
	s.appendWithResult(a, "taken")
	s.read(a, 100)
	s.deliver(a)
	s.execute(a)
	s.appendWithResult(b, "taken") // the release of b's claim
	s.now += 650 * ms
	s.read(c, 100)
	s.deliver(c)
}
