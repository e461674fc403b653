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

// simEngine is a simulated endpoint; its decode step takes slowdown * (step + perRun*n) milliseconds.
type simEngine struct{ step, perRun, slowdown float64 }

func (e simEngine) interval(n int, noise float64) time.Duration {
	return time.Duration(e.slowdown * (e.step + e.perRun*float64(n)) * noise * float64(time.Millisecond))
}

// places returns the true number of concurrent runs that keep 26 ms, the target of the test.
func (e simEngine) places() int {
	return int((26/e.slowdown - e.step) / e.perRun)
}

// The test fills the places that the estimator allows, slows the engine down without
// warning, and restores its speed.
func TestEstimatorFitsPlacesAndFollowsASlowdown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := simEngine{
			step:   rapid.Float64Range(4, 16).Draw(t, "step"),
			perRun: rapid.Float64Range(0.3, 1.5).Draw(t, "per run"), slowdown: 1,
		}
		noise := rapid.Float64Range(0.9, 1.1)
		l := speed.New(assumed)
		l.SetTargetInterval(26 * time.Millisecond)
		feed := func(samples int) {
			for i := range samples {
				n := rapid.IntRange(max(1, l.Places()/2), l.Places()).Draw(t, "runs")
				if i%2 == 0 {
					n = l.Places() // as under load, when a queue fills every place
				}
				l.ObserveInterval(n, e.interval(n, noise.Draw(t, "noise")))
			}
		}
		checkEstimates := func(when string, tolerance float64) {
			truth := min(e.places(), assumed.MaxPlaces)
			if got := l.Places(); e.slowdown == 1 && (got > truth+max(2, truth/3) || got < truth/2) {
				t.Fatalf("%s: %d places, want about %d", when, got, truth)
			}
			got, want := l.TokenInterval(l.Places()).Seconds(), e.interval(l.Places(), 1).Seconds()
			if got > tolerance*want || got < want/tolerance {
				t.Fatalf("%s: token interval %v s, want about %v s", when, got, want)
			}
		}
		feed(300)
		checkEstimates("at first", 1.5)
		before := l.PrefillPerSecond()
		e.slowdown = 5
		feed(2 * 3)                        // detecting the shift may take two series of samples
		checkEstimates("slowed down", 1.8) // a deviation below the shift ratio and the noise is not detected at once
		if l.PrefillPerSecond() > before/2 {
			t.Fatalf("prefill rate %v tokens/s after the slowdown, was %v", l.PrefillPerSecond(), before)
		}
		e.slowdown = 1
		feed(300)
		checkEstimates("recovered", 1.5)
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
