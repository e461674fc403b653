package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosespoke.dev/coord/endpoint"
)

// Guards against short prompts that wait for long ones at the endpoint: while a
// prompt is being computed, a further reservation is granted only if the expected
// prefill of all of them stays within a quarter of the target for the first token.
func TestPendingPrefillLimitsGrantsToQuarterOfFirstTokenTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const target = 400 * time.Millisecond
		m := endpoint.New(endpoint.Config{Incarnation: "m", Places: 64, GrantLease: time.Hour, RecordRetention: time.Hour})
		asked := map[endpoint.ReservationKey]endpoint.Reserve{}
		pending := map[endpoint.AttemptKey]time.Duration{} // prefill of granted attempts without a first token
		var running []endpoint.AttemptKey
		granted := 0
		now := time.Duration(0)
		step := func(event endpoint.Event) {
			for _, effect := range m.Step(now, event) {
				answer, ok := effect.(endpoint.Answer)
				if !ok || answer.Verdict != endpoint.Granted {
					continue
				}
				r := asked[answer.Key]
				total := r.Prefill
				for _, p := range pending {
					total += p
				}
				if len(pending) > 0 && total > target/4 {
					t.Fatalf("%v of prefill granted while %d others are pending", total, len(pending))
				}
				pending[r.Attempt] = r.Prefill
				granted++
				// The dispatch comes at the same time, so that no prefill time has passed.
				m.Step(now, endpoint.Dispatch{Attempt: r.Attempt, Grant: answer.Grant, Incarnation: "m", TimeLeft: time.Hour})
				running = append(running, r.Attempt)
			}
		}
		for i := range 30 {
			if len(running) > 0 && rapid.Bool().Draw(t, "token") {
				first := running[0]
				running = running[1:]
				delete(pending, first)
				step(endpoint.Progress{Attempt: first})
				continue
			}
			id := fmt.Sprint(i)
			r := endpoint.Reserve{
				Key: endpoint.ReservationKey{ID: id}, Attempt: endpoint.AttemptKey{RequestID: id}, TimeLeft: time.Hour,
				Cost: time.Second, FirstTokenTarget: target,
				Prefill: time.Duration(rapid.IntRange(1, 150).Draw(t, "prefill")) * time.Millisecond,
			}
			asked[r.Key] = r
			step(r)
		}
		for len(running) > 0 {
			first := running[0]
			running = running[1:]
			delete(pending, first)
			step(endpoint.Progress{Attempt: first})
		}
		if granted != len(asked) {
			t.Fatalf("%d of %d reservations granted after all prompts were computed", granted, len(asked))
		}
	})
}
