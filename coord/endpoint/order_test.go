package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosespoke.dev/coord/endpoint"
)

// Reservations of two tiers wait for one place. A grant is wrong if a more urgent
// tier waits, or if the granted run can't end by its deadline while one of its tier that
// can waits, or if one of the same account and tier waits that came before with as little time
// left. Whether a target for the first token was missed does not matter.
func TestReservationsGoByRankAndWhetherTheyCanEndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := endpoint.New(endpoint.Config{Incarnation: "m", GrantLease: time.Hour, RecordRetention: time.Hour})
		waiting := map[endpoint.ReservationKey]endpoint.Reserve{}
		arrived, deadlines := map[endpoint.ReservationKey]time.Duration{}, map[endpoint.ReservationKey]time.Duration{}
		now := time.Duration(0)
		tooLate := func(key endpoint.ReservationKey) bool { return now+time.Second > deadlines[key] }
		var held *endpoint.Answer
		step := func(event endpoint.Event) {
			for _, effect := range m.Step(now, event) {
				answer, ok := effect.(endpoint.Answer)
				if ok && answer.Verdict != endpoint.Granted {
					delete(waiting, answer.Key)
				}
				if !ok || answer.Verdict != endpoint.Granted {
					continue
				}
				granted := waiting[answer.Key]
				delete(waiting, answer.Key)
				held = &answer
				for key, other := range waiting {
					if other.Rank != granted.Rank {
						if other.Rank < granted.Rank {
							t.Fatalf("reservation %v granted at %v before %v", granted, now, other)
						}
						continue
					}
					first := other.Account == granted.Account && arrived[key] < arrived[answer.Key] && deadlines[key] <= deadlines[answer.Key]
					if tooLate(answer.Key) && !tooLate(key) || first && tooLate(answer.Key) == tooLate(key) {
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
				Account:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
				TimeLeft: time.Duration(rapid.IntRange(900, 2500).Draw(t, "left")) * time.Millisecond,
				Rank:     rapid.IntRange(0, 1).Draw(t, "rank"), FirstTokenTarget: time.Duration(rapid.IntRange(1, 100).Draw(t, "target")) * time.Millisecond,
			}
			waiting[event.Key] = event
			arrived[event.Key], deadlines[event.Key] = now, now+event.TimeLeft
			step(event)
		}
	})
}
