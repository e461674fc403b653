package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosespoke.dev/coord/endpoint"
)

// Reservations of two tiers wait for one place. A grant is wrong if a more urgent
// tier waits, or if the granted reservation has missed its target for the first
// token while one of its tier that has not missed it waits.
func TestLateReservationIsGrantedAfterOnTimeOnesOfItsTier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := endpoint.New(endpoint.Config{Incarnation: "m", GrantLease: time.Hour, RecordRetention: time.Hour})
		waiting := map[endpoint.ReservationKey]endpoint.Reserve{}
		targets := map[endpoint.ReservationKey]time.Duration{} // when the first token is due
		now := time.Duration(0)
		late := func(key endpoint.ReservationKey) bool { return now > targets[key] }
		var held *endpoint.Answer
		step := func(event endpoint.Event) {
			for _, effect := range m.Step(now, event) {
				answer, ok := effect.(endpoint.Answer)
				if !ok || answer.Verdict != endpoint.Granted {
					continue
				}
				granted := waiting[answer.Key]
				delete(waiting, answer.Key)
				held = &answer
				for key, other := range waiting {
					if other.Rank < granted.Rank || other.Rank == granted.Rank && late(answer.Key) && !late(key) {
						t.Fatalf("reservation %v granted at %v before %v", granted, now, other)
					}
				}
			}
		}
		for i := range 40 {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond
			if held != nil && rapid.Bool().Draw(t, "free") {
				key := held.Key
				held = nil
				step(endpoint.Release{Key: key})
				continue
			}
			id := fmt.Sprint(i)
			event := endpoint.Reserve{
				Key: endpoint.ReservationKey{ID: id}, Attempt: endpoint.AttemptKey{RequestID: id}, Cost: time.Second,
				Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), TimeLeft: time.Hour,
				Rank: rapid.IntRange(0, 1).Draw(t, "rank"), FirstTokenTarget: 100 * time.Millisecond,
			}
			waiting[event.Key] = event
			targets[event.Key] = now + event.FirstTokenTarget
			step(event)
		}
	})
}
