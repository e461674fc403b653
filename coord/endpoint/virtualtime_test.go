package endpoint_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosespoke.dev/coord/endpoint"
)

// TestMain runs more and longer rapid checks than the defaults, unless flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.checks": "2000", "rapid.steps": "60"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// Both accounts always have reservations waiting for one place. The test compares
// the total cost granted to each, divided by its weight.
func TestWaitingAccountsAreServedInProportionToWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := endpoint.New(endpoint.Config{Incarnation: "m", GrantLease: time.Hour, RecordRetention: time.Hour, Stretch: 10})
		weights := map[string]float64{"a": 1, "b": float64(rapid.IntRange(1, 8).Draw(t, "weight"))}
		costs := rapid.SliceOfN(rapid.IntRange(1, 50), 40, 40).Draw(t, "costs")
		served := map[string]float64{}
		asked := map[endpoint.ReservationKey]endpoint.Reserve{}
		var granted []endpoint.Answer
		step := func(event endpoint.Event) {
			for _, effect := range m.Step(0, event) {
				if answer, ok := effect.(endpoint.Answer); ok && answer.Verdict == endpoint.Granted {
					granted = append(granted, answer)
				}
			}
		}
		ask := func(account string) {
			id := fmt.Sprint(account, len(asked))
			event := endpoint.Reserve{
				Key: endpoint.ReservationKey{ID: id}, Attempt: endpoint.AttemptKey{RequestID: id}, Account: account,
				Weight: weights[account], Cost: time.Duration(costs[len(asked)%40]) * time.Second, TimeLeft: time.Hour,
			}
			asked[event.Key] = event
			step(event)
		}
		for _, account := range []string{"a", "b", "a", "b", "a"} {
			ask(account)
		}
		for i := range 200 {
			r := asked[granted[i].Key]
			served[r.Account] += r.Cost.Seconds()
			step(endpoint.Dispatch{Attempt: r.Attempt, Grant: granted[i].Grant, Incarnation: "m", TimeLeft: time.Hour})
			ask(r.Account)
			step(endpoint.Ended{Attempt: r.Attempt})
		}
		if lead := served["a"] - served["b"]/weights["b"]; lead > 100 || lead < -100 { // twice the highest cost, in seconds
			t.Fatalf("account a was granted %v s, account b %v s at weights %v", served["a"], served["b"], weights)
		}
	})
}

func Example() {
	m := endpoint.New(endpoint.Config{Incarnation: "agent-1", Places: 1, GrantLease: time.Second, RecordRetention: time.Minute})
	attempt := endpoint.AttemptKey{RequestID: "r1", Attempt: 1}
	key := endpoint.ReservationKey{Incarnation: "entry-1", ID: "1"}
	answer := m.Step(0, endpoint.Reserve{Key: key, Attempt: attempt, Tier: "urgent", TimeLeft: time.Second})[0].(endpoint.Answer)
	dispatch := endpoint.Dispatch{Attempt: attempt, Grant: answer.Grant, Incarnation: "agent-1", TimeLeft: time.Second}
	fmt.Printf("%T %T\n", m.Step(0, dispatch)[0], m.Step(0, dispatch)[0])
	// Output: endpoint.Start endpoint.Refuse
}
