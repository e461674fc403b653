package claim_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosespoke.dev/coord/claim"
)

const (
	testHorizon   = 1000 * time.Millisecond
	testClaimants = 3
	testKeys      = 3
)

// execution is one request that was sent to the service, which executes everything
// that it is sent.
type execution struct {
	call    uint64
	claimMS int64 // log time of the claim
	answer  string
}

// call is one request as its caller sees it.
type call struct {
	key            int
	statesCreation bool // its key states a creation time
	digest         claim.Digest
	ended          string // outcome of its refusal, or "replayed"; empty = neither
	executed       bool
}

// claimant is one process. While frozen it gets no events; once killed it starts
// again as a new incarnation.
type claimant struct {
	m         *claim.Machine
	skew      time.Duration // of its clock
	frozen    bool
	appending *claim.Append
	page      *claim.Page // answer of the log that is not delivered yet
	runs      []claim.Run // allowed but not sent yet
	sent      []claim.Run // sent but not ended yet
	calls     []uint64
}

// simulation holds the claimants, the log and the service's executions.
type simulation struct {
	t              interface{ Fatalf(string, ...any) }
	now            time.Duration
	log            []claim.LogRecord // never trimmed; readers get records from earliest on
	earliest       int64
	delayedAppends [][]byte // records that the log may still store
	claimants      []*claimant
	calls          map[uint64]*call
	executions     map[int][]execution
	maybeClaimed   map[int]bool // keys that a killed claimant may have claimed
	createdMS      [testKeys]int64
	nextCall       uint64
	incarnations   int
}

func newSimulation(t interface{ Fatalf(string, ...any) }) *simulation {
	s := &simulation{t: t, now: time.Hour, calls: map[uint64]*call{}, executions: map[int][]execution{}, maybeClaimed: map[int]bool{}}
	for i := range testClaimants {
		s.claimants = append(s.claimants, &claimant{skew: time.Duration(i) * time.Minute})
		s.restart(s.claimants[i])
	}
	s.createdMS[testKeys-1] = s.now.Milliseconds()
	return s
}

// restart kills a claimant and starts its next incarnation.
func (s *simulation) restart(c *claimant) {
	s.incarnations++
	m := claim.New(claim.Config{
		Incarnation: fmt.Sprint("agent-", s.incarnations), Horizon: testHorizon, BatchDelay: 5 * time.Millisecond,
		AwaitLimit: 100 * time.Millisecond, Backoff: 10 * time.Millisecond, MaxBackoff: 20 * time.Millisecond,
		SnapshotInterval: 200 * time.Millisecond,
	})
	for _, id := range c.calls {
		s.maybeClaimed[s.calls[id].key] = true
	}
	*c = claimant{m: m, skew: c.skew}
	m.Step(s.now+c.skew, claim.SetSnapshotWriter{Chosen: c == s.claimants[0]})
}

// step hands an event to a claimant and checks its effects.
func (s *simulation) step(c *claimant, e claim.Event) {
	for _, effect := range c.m.Step(s.now+c.skew, e) {
		switch effect := effect.(type) {
		case claim.Append:
			if c.appending != nil {
				s.t.Fatalf("two appends in flight")
			}
			c.appending = &effect
		case claim.Run:
			s.unfinishedCall(effect.Call)
			if s.now+c.skew >= effect.Deadline {
				s.t.Fatalf("call %d may run after its deadline", effect.Call)
			}
			c.runs = append(c.runs, effect)
		case claim.Refuse:
			s.endWithoutRun(effect.Call, string(effect.Outcome))
			if effect.Outcome == claim.Ran && len(s.executions[s.calls[effect.Call].key]) == 0 {
				s.t.Fatalf("call %d: refused as ran, but its key was never executed", effect.Call)
			}
		case claim.Replay:
			s.endWithoutRun(effect.Call, "replayed")
			s.checkReplay(effect)
		}
	}
}

// unfinishedCall returns a call and fails if it was refused or replayed before.
func (s *simulation) unfinishedCall(id uint64) *call {
	k := s.calls[id]
	if k.ended != "" {
		s.t.Fatalf("call %d goes on after it ended with %s", id, k.ended)
	}
	return k
}

// endWithoutRun records the end of a call that was not executed itself.
func (s *simulation) endWithoutRun(id uint64, how string) {
	k := s.unfinishedCall(id)
	if k.executed {
		s.t.Fatalf("call %d was executed and ended with %s", id, how)
	}
	k.ended = how
}

// checkReplay fails unless the answer is that of an execution of the same request.
func (s *simulation) checkReplay(r claim.Replay) {
	k := s.calls[r.Call]
	same := func(e execution) bool { return e.answer == string(r.Answer.Body) && s.calls[e.call].digest == k.digest }
	if !slices.ContainsFunc(s.executions[k.key], same) {
		s.t.Fatalf("call %d of key %d got %s, which is no answer to this request", r.Call, k.key, r.Answer.Body)
	}
}

// start lets a caller send a request with a key to a claimant. Variants differ in
// their bodies.
func (s *simulation) start(c *claimant, key, variant int) uint64 {
	s.nextCall++
	k := &call{key: key, digest: claim.NewDigest("POST", "/bookings", []byte(fmt.Sprint(variant))), statesCreation: s.createdMS[key] != 0}
	s.calls[s.nextCall] = k
	c.calls = append(c.calls, s.nextCall)
	s.step(c, claim.Start{
		Call: s.nextCall, Key: claim.NewKey("crew", fmt.Sprint(key)), Digest: k.digest,
		CreatedMS: s.createdMS[key], Deadline: s.now + c.skew + 200*time.Millisecond,
	})
	return s.nextCall
}

// appendToLog stores a record in the log at the present time.
func (s *simulation) appendToLog(data []byte) {
	s.log = append(s.log, claim.LogRecord{Offset: int64(len(s.log)), TimeMS: s.now.Milliseconds(), Data: data})
}

// finishAppend ends the append in flight: fate tells whether the log stores it and
// what the claimant is told.
func (s *simulation) finishAppend(c *claimant, fate string) {
	a := c.appending
	c.appending = nil
	switch fate {
	case "taken", "lost answer", "stays unanswered":
		s.appendToLog(a.Data)
	case "taken twice":
		s.appendToLog(a.Data)
		s.delayedAppends = append(s.delayedAppends, a.Data)
	case "late":
		s.delayedAppends = append(s.delayedAppends, a.Data)
	}
	switch fate {
	case "taken", "taken twice":
		s.step(c, claim.Appended{Batch: a.Batch})
	case "refused":
		s.step(c, claim.AppendFailed{Batch: a.Batch})
	default:
		s.step(c, claim.AppendFailed{Batch: a.Batch, Unknown: true})
	}
}

// read lets the log answer a read of a claimant; deliver hands over the answer.
func (s *simulation) read(c *claimant, limit int) {
	from := c.m.Next()
	first := min(max(from, s.earliest), int64(len(s.log)))
	last := min(first+int64(limit), int64(len(s.log)))
	c.page = &claim.Page{
		From: from, Earliest: s.earliest, Next: last, NowMS: s.now.Milliseconds(),
		Records: s.log[first:last], AtHead: last == int64(len(s.log)),
	}
}

func (s *simulation) deliver(c *claimant) {
	if p := c.page; p != nil {
		c.page = nil
		s.step(c, claim.PageRead{Page: *p})
	}
}

// execute sends the service a request that a claimant may run. It fails if the key
// was executed before, within the horizon or at all if it states a creation time.
func (s *simulation) execute(c *claimant) {
	r := c.runs[0]
	c.runs = c.runs[1:]
	if s.now+c.skew >= r.Deadline {
		s.step(c, claim.NotStarted{Claim: r.Claim})
		s.endWithoutRun(r.Call, "not_run")
		return
	}
	k := s.unfinishedCall(r.Call)
	if k.executed {
		s.t.Fatalf("call %d executed twice", r.Call)
	}
	k.executed = true
	e := execution{call: r.Call, claimMS: s.claimTime(r.Claim), answer: fmt.Sprintf("key %d, run %d", k.key, r.Call)}
	for _, earlier := range s.executions[k.key] {
		if k.statesCreation || e.claimMS <= earlier.claimMS+testHorizon.Milliseconds() {
			s.t.Fatalf("key %d executed for call %d and again for call %d", k.key, earlier.call, r.Call)
		}
	}
	s.executions[k.key] = append(s.executions[k.key], e)
	c.sent = append(c.sent, r)
}

// claimTime returns the log time of a claim.
func (s *simulation) claimTime(id string) int64 {
	for _, rec := range s.log {
		if strings.Contains(string(rec.Data), `{"kind":"claim","id":"`+id+`"`) {
			return rec.TimeMS
		}
	}
	s.t.Fatalf("claim %s runs but is not in the log", id)
	return 0
}

// finishRun ends a run: how tells what the claimant learns of its answer.
func (s *simulation) finishRun(c *claimant, how string) {
	r := c.sent[0]
	c.sent = c.sent[1:]
	answer := claim.Answer{Status: 201, Body: []byte(s.executions[s.calls[r.Call].key][0].answer)}
	for _, e := range s.executions[s.calls[r.Call].key] {
		if e.call == r.Call {
			answer.Body = []byte(e.answer)
		}
	}
	switch how {
	case "large":
		answer.Body = make([]byte, claim.MaxAnswer+1)
	case "unknown":
		answer = claim.Answer{Unknown: true}
	}
	s.step(c, claim.Ended{Claim: r.Claim, Answer: answer})
}

// settle lets all claimants that are not frozen run without faults for a while.
func (s *simulation) settle(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 5 * time.Millisecond {
		for _, c := range s.claimants {
			if c.frozen {
				continue
			}
			s.deliver(c)
			s.step(c, claim.Tick{})
			if c.appending != nil {
				s.finishAppend(c, "taken")
			}
			s.read(c, 100)
			s.deliver(c)
			for len(c.runs) > 0 {
				s.execute(c)
			}
			for len(c.sent) > 0 {
				s.finishRun(c, "small")
			}
		}
	}
}

// checkClaimable starts a call with a key and fails unless it is executed.
func (s *simulation) checkClaimable(c *claimant, key int, why string) {
	id := s.start(c, key, 0)
	s.settle(60 * time.Millisecond)
	if !s.calls[id].executed {
		s.t.Fatalf("key %d can't be claimed %s: %s", key, why, s.calls[id].ended)
	}
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, ready func(*claimant) bool) *claimant {
		c := s.claimants[rapid.IntRange(0, testClaimants-1).Draw(t, "claimant")]
		if c.frozen || !ready(c) {
			t.Skip("the claimant is frozen or has nothing to do")
		}
		return c
	}
	any := func(*claimant) bool { return true }
	fates := rapid.SampledFrom([]string{"taken", "taken", "taken twice", "refused", "lost answer", "lost", "late"})
	exchange := func(t *rapid.T) {
		c := pick(t, any)
		s.now += 6 * time.Millisecond
		s.step(c, claim.Tick{})
		if c.appending != nil && rapid.IntRange(0, 7).Draw(t, "answer") > 0 {
			s.finishAppend(c, fates.Draw(t, "fate"))
		}
		if c.page == nil || rapid.Bool().Draw(t, "new page") {
			s.read(c, rapid.IntRange(1, 12).Draw(t, "limit"))
		}
		if rapid.IntRange(0, 4).Draw(t, "deliver") > 0 {
			s.deliver(c)
		}
	}
	run := func(t *rapid.T) {
		c := pick(t, func(c *claimant) bool { return len(c.runs)+len(c.sent) > 0 })
		switch {
		case len(c.sent) > 0 && rapid.Bool().Draw(t, "finish"):
			s.finishRun(c, rapid.SampledFrom([]string{"small", "small", "large", "unknown"}).Draw(t, "how"))
		case len(c.runs) > 0 && rapid.IntRange(0, 5).Draw(t, "fails") == 0:
			s.notStarted(c)
		case len(c.runs) > 0:
			s.execute(c)
		}
	}
	start := func(t *rapid.T) {
		s.start(pick(t, any), rapid.IntRange(0, testKeys-1).Draw(t, "key"), rapid.IntRange(0, 7).Draw(t, "variant")/7)
	}
	return map[string]func(*rapid.T){
		"exchange 1": exchange, "exchange 2": exchange, "exchange 3": exchange, "exchange 4": exchange, "exchange 5": exchange,
		"start 1": start, "start 2": start, "start 3": start,
		"run 1": run, "run 2": run, "run 3": run,
		"late append arrives": func(t *rapid.T) {
			if len(s.delayedAppends) == 0 {
				t.Skip("none")
			}
			i := rapid.IntRange(0, len(s.delayedAppends)-1).Draw(t, "record")
			s.appendToLog(s.delayedAppends[i])
			s.delayedAppends = slices.Delete(s.delayedAppends, i, i+1)
		},
		"read fails": func(t *rapid.T) { s.step(pick(t, any), claim.ReadFailed{}) },
		"cancel": func(t *rapid.T) {
			c := pick(t, func(c *claimant) bool { return len(c.calls) > 0 })
			s.step(c, claim.Cancel{Call: c.calls[len(c.calls)-1]})
		},
		"kill":   func(t *rapid.T) { s.restart(s.claimants[rapid.IntRange(0, testClaimants-1).Draw(t, "claimant")]) },
		"freeze": func(t *rapid.T) { pick(t, any).frozen = true },
		"unfreeze": func(t *rapid.T) {
			for _, c := range s.claimants {
				c.frozen = c.frozen && rapid.Bool().Draw(t, "stay")
			}
		},
		"time": func(t *rapid.T) {
			s.now += time.Duration(rapid.SampledFrom([]int{30, 90, 250, 600, 1100, 1300}).Draw(t, "ms")) * time.Millisecond
		},
		"trim":   func(t *rapid.T) { s.earliest = rapid.Int64Range(s.earliest, int64(len(s.log))).Draw(t, "earliest") },
		"settle": func(*rapid.T) { s.settle(40 * time.Millisecond) },
	}
}

// notStarted lets the oldest allowed run of a claimant fail before it is sent.
func (s *simulation) notStarted(c *claimant) {
	r := c.runs[0]
	c.runs = c.runs[1:]
	s.step(c, claim.NotStarted{Claim: r.Claim})
	s.endWithoutRun(r.Call, "not_run")
}

func TestKeyExecutesAtMostOnceDespiteRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		if rapid.IntRange(0, 3).Draw(t, "fresh") > 0 {
			s.settle(20 * time.Millisecond)
		}
		t.Repeat(s.actions())
		s.endFaults()
	})
}

// endFaults ends all faults and checks that no key stays refused without reason.
func (s *simulation) endFaults() {
	for _, c := range s.claimants {
		c.frozen = false
	}
	s.settle(3 * 250 * time.Millisecond)
	for key := range testKeys - 1 {
		if len(s.executions[key]) == 0 && !s.maybeClaimed[key] && s.claimants[0].m.Ready() && s.earliest == 0 {
			s.checkClaimable(s.claimants[0], key, "although nothing ran under it")
		}
	}
	s.delayedAppends = nil
	s.settle(3 * testHorizon)
	for _, c := range s.claimants {
		if !c.m.Ready() {
			s.t.Fatalf("a claimant did not become ready")
		}
		s.settle(testHorizon + testHorizon/4)
		s.checkClaimable(c, 0, "after the horizon")
	}
}
