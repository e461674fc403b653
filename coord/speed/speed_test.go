package speed_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosespoke.dev/coord/speed"
)

var assumed = speed.Config{
	Step: 10 * time.Millisecond, StepPerRun: 500 * time.Microsecond, PrefillPerSecond: 4000, FirstPlaces: 4, MaxPlaces: 64,
}

// engine is the true line of a made-up endpoint, in milliseconds.
type engine struct{ step, perRun, slow float64 }

func (e engine) interval(n int, noise float64) time.Duration {
	return time.Duration(e.slow * (e.step + e.perRun*float64(n)) * noise * float64(time.Millisecond))
}

// places is the true count that keeps 26 ms.
func (e engine) places() int {
	return int((26/e.slow - e.step) / e.perRun)
}

// TestLearnsPlacesAndFollowsASlowDown fills the places that the learner allows,
// slows the engine without warning, and speeds it up again.
func TestLearnsPlacesAndFollowsASlowDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine{
			step:   rapid.Float64Range(4, 16).Draw(t, "step"),
			perRun: rapid.Float64Range(0.3, 1.5).Draw(t, "per run"), slow: 1,
		}
		noise := rapid.Float64Range(0.9, 1.1)
		l := speed.New(assumed)
		l.SetTargetInterval(26 * time.Millisecond)
		feed := func(samples int) {
			for i := range samples {
				n := rapid.IntRange(max(1, l.Places()/2), l.Places()).Draw(t, "runs")
				if i%2 == 0 {
					n = l.Places() // a queue fills what is allowed
				}
				l.ObserveInterval(n, e.interval(n, noise.Draw(t, "noise")))
			}
		}
		near := func(when string, tolerance float64) {
			truth := min(e.places(), assumed.MaxPlaces)
			if got := l.Places(); e.slow == 1 && (got > truth+max(2, truth/3) || got < truth/2) {
				t.Fatalf("%s: %d places, true count %d", when, got, truth)
			}
			got, want := l.TokenInterval(l.Places()).Seconds(), e.interval(l.Places(), 1).Seconds()
			if got > tolerance*want || got < want/tolerance {
				t.Fatalf("%s: interval %v, truth %v", when, got, want)
			}
		}
		feed(300)
		near("at first", 1.5)
		before := l.PrefillPerSecond()
		e.slow = 5
		feed(2 * 3)         // a move may take two rounds
		near("slowed", 1.8) // what is off by less than the shift ratio and the noise is not noticed at once
		if l.PrefillPerSecond() > before/2 {
			t.Fatalf("prefill still %v after %v", l.PrefillPerSecond(), before)
		}
		e.slow = 1
		feed(300)
		near("recovered", 1.5)
	})
}

func Example() {
	l := speed.New(speed.Config{Step: 10 * time.Millisecond, PrefillPerSecond: 1000, FirstPlaces: 1, MaxPlaces: 8})
	l.ObserveCached(7, 500)
	fmt.Println(l.ServiceTime(7, 1000, 50, 1))
	l.ObserveStall(1, time.Second)
	l.ObserveStall(1, time.Second)
	l.ObserveStall(1, time.Second)
	fmt.Println(l.TokenInterval(1) > 500*time.Millisecond)
	// Output:
	// 1s
	// true
}
