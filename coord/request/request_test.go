package request_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/request"
)

// stepStream delivers one frame of a stream, or draws a fault: an interruption, a
// foreign or late frame, overlapping bytes or a report of progress.
func (w *simulation) stepStream(s *entryState, at int) {
	st := s.streams[at]
	report := request.StreamReported{Stream: st.id, Offset: s.answer.Offset(), Sent: s.answer.Offset() > 0}
	finish := func(kind request.StreamKind) {
		s.streams = slices.Delete(s.streams, at, at+1)
		report.Kind, report.Offset, report.Sent = kind, s.answer.Offset(), s.answer.Offset() > 0
		w.step(st.entry, report)
	}
	if !w.fault("frame") {
		w.deliverChunkOrEnd(s, st, finish)
		return
	}
	switch rapid.IntRange(0, 3).Draw(w.t, "kind") {
	case 0:
		finish(request.StreamInterrupted)
	case 1:
		if s.answer.CheckOwner("another", st.run.attempt) == request.FrameAccepted || s.answer.CheckOwner(requestID, st.run.attempt+7) == request.FrameAccepted {
			w.t.Fatalf("answer accepted a foreign or late frame")
		}
	case 2:
		st.cursor = max(0, st.cursor-2) // the next frame repeats accepted bytes
	case 3:
		report.Kind = request.StreamProgress
		w.step(st.entry, report)
	}
}

// deliverChunkOrEnd delivers the next bytes of a run's answer, or reports how its
// stream ended.
func (w *simulation) deliverChunkOrEnd(s *entryState, st *stream, finish func(request.StreamKind)) {
	run := st.run
	if st.cursor < len(run.answer) && (run.state == "running" || run.state == "complete") {
		n := rapid.IntRange(1, 3).Draw(w.t, "chunk")
		chunk := run.answer[st.cursor:min(st.cursor+n, len(run.answer))]
		next, verdict := s.answer.AcceptChunk(int64(st.cursor), chunk)
		st.cursor += len(chunk)
		s.received = append(s.received, next...)
		if verdict == request.FrameGap {
			finish(request.StreamInterrupted)
		}
		return
	}
	if run.state == "running" {
		run.state = rapid.SampledFrom([]string{"complete", "complete", "broken"}).Draw(w.t, "ending")
	}
	switch {
	case run.state == "lost":
		finish(request.StreamInterrupted)
	case run.state != "complete":
		finish(request.StreamEndedEarly)
	case s.answer.CheckLength(int64(len(run.answer))) == request.FrameGap:
		finish(request.StreamInterrupted)
	default:
		finish(request.StreamComplete)
	}
}

// randomStep draws and carries out one action at one entry.
func (w *simulation) randomStep() {
	i := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
	s := w.entries[i]
	switch rapid.IntRange(0, 15).Draw(w.t, "action") {
	case 0:
		w.now += time.Duration(rapid.IntRange(1, 800).Draw(w.t, "ms")) * time.Millisecond
	case 1:
		w.step(i, request.TimerFired{}) // possibly early
	case 2:
		if w.fault("restart") {
			w.restart(w.agents[rapid.IntRange(0, 2).Draw(w.t, "restarted")])
		}
	case 3:
		switch rapid.IntRange(0, 7).Draw(w.t, "rare") {
		case 0:
			w.step(i, request.CallerGone{})
		case 1:
			w.step(i, request.Shed{Status: 503})
		case 2:
			s.killed = true // the entry's messages are still in transit
		case 3, 4, 5:
			// Another registrar takes over, which knows no earlier registrations.
			w.holders, w.toldUnsure, w.registrarUnsure = map[string]int{}, map[int]bool{}, true
		}
	case 4:
		w.step(i, request.AdmissionRevoked{})
	case 5, 6:
		w.step(i, request.Admitted{})
	case 7, 8, 9, 10:
		if len(s.streams) > 0 {
			w.stepStream(s, rapid.IntRange(0, len(s.streams)-1).Draw(w.t, "stream"))
		}
	default:
		w.handleRandomCall()
	}
}

// handleRandomCall draws a message in transit, which is delivered, repeated or
// lost, or whose answer is lost.
func (w *simulation) handleRandomCall() {
	if len(w.calls) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[at]
	result := 9
	if w.fault("lost") {
		result = rapid.IntRange(0, 2).Draw(w.t, "result")
	}
	switch {
	case result == 0 && !c.answered:
		c.answered = true // the entry sees an error; the message may still arrive
		w.step(c.entry, c.failure)
	case result == 1:
		_ = c.deliver(false) // the message arrives, its answer is lost
		if !c.answered {
			w.step(c.entry, c.failure)
		}
		w.calls = slices.Delete(w.calls, at, at+1)
	default:
		w.calls = slices.Delete(w.calls, at, at+1)
		event := c.deliver(!c.answered)
		if w.fault("repeated") {
			_ = c.deliver(false) // the answer to the repeated message is lost
		}
		if !c.answered {
			w.step(c.entry, event)
		}
	}
}

// runToEnd makes progress at every entry, passes the deadline, delivers all
// messages in transit and then checks the final effects.
func (w *simulation) runToEnd() {
	for range 400 {
		w.now += 50 * time.Millisecond
		for i, s := range w.entries {
			w.step(i, request.Admitted{})
			if w.now >= s.timerAt {
				w.step(i, request.TimerFired{})
			}
			if len(s.streams) > 0 {
				w.stepStream(s, 0)
			}
		}
		w.handleRandomCall()
	}
	w.now = max(w.now, deadline)
	for i := range w.entries {
		w.step(i, request.TimerFired{})
	}
	for len(w.calls) > 0 {
		c := w.calls[0]
		w.calls = w.calls[1:]
		event := c.deliver(!c.answered)
		if !c.answered {
			w.step(c.entry, event)
		}
	}
	for _, s := range w.entries {
		if !s.killed {
			w.checkFinalEffect(s)
		}
	}
}

// checkFinalEffect compares what the caller was told with what was executed. It
// also checks that nothing is held or running after the final effect.
func (w *simulation) checkFinalEffect(s *entryState) {
	if s.final == nil {
		w.t.Fatalf("request has no final effect in phase %s", s.machine.Phase())
	}
	if len(s.outstanding) > 0 {
		w.t.Fatalf("reservations are held after the final effect: %v", s.outstanding)
	}
	for _, run := range w.executions {
		if run.state == "running" && w.entries[run.entry] == s {
			w.t.Fatalf("attempt %d still runs after the end of its request", run.attempt)
		}
	}
	switch final := s.final.(type) {
	case request.Finish:
		if final.CallerGone {
			return
		}
		whole := slices.ContainsFunc(w.executions, func(run *execution) bool {
			return run.state == "complete" && bytes.Equal(run.answer, s.received)
		})
		if !whole {
			w.t.Fatalf("request finished after %q, which is not the complete answer of any run", s.received)
		}
	case request.Refuse:
		w.checkOutcome(final.Outcome)
		if len(s.received) > 0 && final.Status != 504 {
			w.t.Fatalf("request refused after %d bytes of its answer", len(s.received))
		}
	case request.Abort:
		w.checkOutcome(final.Outcome)
	}
}

func (w *simulation) checkOutcome(outcome request.Outcome) {
	if outcome == request.OutcomeNotRun && len(w.executions) > 0 && !w.severalSubmissions() {
		w.t.Fatalf("outcome not_run, but the request was executed %d times", len(w.executions))
	}
	if outcome == request.OutcomeRan && len(w.executions) == 0 {
		w.t.Fatalf("outcome ran, but the request was never executed")
	}
}

// severalSubmissions tells whether there are several submissions of the ID. The
// executions may then belong to another submission than the one refused, whose
// outcome is only about its own attempts.
func (w *simulation) severalSubmissions() bool {
	return len(w.entries) > 1
}

func TestOneEntryWithFaultsReportsTrueOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, 1)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.randomStep()
		}
		w.runToEnd()
	})
}

func TestTwoEntriesWithOneIDRunItOnceAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, 2)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.randomStep()
		}
		w.runToEnd()
	})
}

// Guards against two entries that run the same ID. A request whose ID was located
// nowhere waited long for a grant and was then dispatched without asking the
// registrar again, while a second new registrar had let another entry start.
// TestTwoEntriesWithOneIDRunItOnceAtATime found the fault.
func TestLocatedIDIsRegisteredAgainBeforeDispatch(t *testing.T) {
	g := NewWithT(t)
	spec := request.Spec{ID: "r1", ChosenID: true, Deadline: time.Minute}
	r := request.New(spec, request.Config{Reservations: 1, QueryFailureLimit: 3, ReadFailureLimit: 3}, fixedPolicy{})
	granted := func(n uint64) request.Event {
		return request.ReserveReplied{Reservation: n, Verdict: request.ReserveGranted, Grant: request.Grant{ID: "g", Lease: lease}}
	}
	r.Step(0, request.Admitted{})
	g.Expect(r.Step(0, granted(1))).To(ContainElement(request.Release{Reservation: 2, Agent: "b"}))
	g.Expect(r.Phase()).To(Equal(request.PhaseRegistering))
	g.Expect(r.Step(0, request.RegisterReplied{Query: 3, Verdict: request.RegisterUnsure})).To(ContainElement(request.Release{Reservation: 1, Agent: "a"}))
	r.Step(lease/2, request.TimerFired{})
	g.Expect(r.Phase()).To(Equal(request.PhaseUnsure), "a grant lease must pass before the pool is asked")
	g.Expect(r.Step(lease, request.TimerFired{})).To(ContainElement(request.Locate{Query: 4}))
	r.Step(lease, request.LocateReplied{Query: 4, Complete: true})
	g.Expect(r.Step(lease, granted(5))).To(ContainElement(request.Register{Query: 7, Attempt: 1, Agent: "a", Located: true}))
	g.Expect(r.Phase()).To(Equal(request.PhaseRegistering))
}

func TestQueueAdmitsMoreUrgentTiersFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		window := rapid.IntRange(1, 8).Draw(t, "window")
		q := request.NewQueue(window)
		admitted := map[uint64]bool{}
		ranks := map[uint64]int{}
		apply := func(admit, revoke uint64) {
			if revoke != 0 {
				delete(admitted, revoke)
			}
			if admit != 0 {
				admitted[admit] = true
			}
		}
		for key := uint64(1); key < 60; key++ {
			if rapid.Bool().Draw(t, "add") || len(ranks) == 0 {
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				ranks[key] = rank
				apply(q.Add(request.Item{Key: key, Pool: "p", Rank: rank, Account: fmt.Sprint(key % 3), Weight: 1, Cost: 1}))
			} else {
				keys := make([]uint64, 0, len(ranks))
				for k := range ranks {
					keys = append(keys, k)
				}
				slices.Sort(keys)
				gone := rapid.SampledFrom(keys).Draw(t, "gone")
				delete(ranks, gone)
				delete(admitted, gone)
				_, admit := q.Remove("p", gone, rapid.Bool().Draw(t, "served"))
				apply(admit, 0)
			}
			g.Expect(admitted).To(HaveLen(min(window, len(ranks))))
			g.Expect(q.Len()).To(Equal(len(ranks)))
			for in := range admitted {
				for out, rank := range ranks {
					g.Expect(admitted[out] || ranks[in] <= rank).To(BeTrue(), "a less urgent request is admitted while a more urgent one is not")
				}
			}
		}
	})
}

func TestQueueServesAccountsInProportionToWeight(t *testing.T) {
	g := NewWithT(t)
	q := request.NewQueue(1)
	accounts := map[uint64]string{}
	var head uint64
	for key := uint64(1); key <= 400; key++ {
		account, weight := "large", 3.0
		if key%2 == 0 {
			account, weight = "small", 1.0
		}
		accounts[key] = account
		if admit, _ := q.Add(request.Item{Key: key, Pool: "p", Account: account, Weight: weight, Cost: 10}); admit != 0 {
			head = admit
		}
	}
	served := map[string]int{}
	for range 200 {
		served[accounts[head]]++
		_, head = q.Remove("p", head, true)
	}
	g.Expect(served["large"]).To(BeNumerically("~", 150, 2))
	g.Expect(served["small"]).To(BeNumerically("~", 50, 2))
}

// fixedPolicy picks the same two agents and allows every retry.
type fixedPolicy struct{}

func (fixedPolicy) Pick(time.Duration, []string, int) []string        { return []string{"a", "b"} }
func (fixedPolicy) Retry(time.Duration, uint32) (time.Duration, bool) { return 0, true }
func (fixedPolicy) Backoff(int) time.Duration                         { return time.Second }

func Example() {
	spec := request.Spec{ID: "r1", Deadline: time.Minute}
	r := request.New(spec, request.Config{Reservations: 2, QueryFailureLimit: 3, ReadFailureLimit: 3}, fixedPolicy{})
	show := func(event request.Event) {
		for _, effect := range r.Step(0, event) {
			if _, ok := effect.(request.SetTimer); !ok {
				fmt.Printf("%T\n", effect)
			}
		}
	}
	show(request.Admitted{})
	show(request.ReserveReplied{Reservation: 2, Verdict: request.ReserveGranted, Grant: request.Grant{ID: "g"}})
	show(request.StreamReported{Stream: 3, Kind: request.StreamComplete, Sent: true})
	// Output:
	// request.Reserve
	// request.Reserve
	// request.Release
	// request.Dispatch
	// request.Finish
}
