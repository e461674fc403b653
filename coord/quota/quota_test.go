package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/quota"
)

const (
	leaseLength   = 2 * time.Second
	renewInterval = 800 * time.Millisecond
	step          = 20 * time.Millisecond
)

// simulatedEntry is one entry with the load that it receives.
type simulatedEntry struct {
	client            *quota.Client
	arrivalsPerSecond float64
	arrivalsDue       float64  // arrivals up to now that are not yet sent to Admit
	homeReachable     bool     // the home answers lease requests
	pending           []func() // answers of the home, delivered in the next step
}

func newSimulatedEntry(arrivalsPerSecond float64, homeReachable bool) *simulatedEntry {
	return &simulatedEntry{client: quota.NewClient(renewInterval), arrivalsPerSecond: arrivalsPerSecond, homeReachable: homeReachable}
}

// simulate runs several entries with one home and returns the number of requests
// admitted in each step. change is called for each entry at the start of each step.
func simulate(entries []*simulatedEntry, limits quota.Amounts, steps int, change func(s *simulatedEntry)) []int {
	home := quota.NewHome(leaseLength)
	admitted := make([]int, steps)
	for n := range steps {
		now := time.Duration(n) * step
		for i, s := range entries {
			change(s)
			admitted[n] += s.arrive(now, limits, len(entries))
			for _, deliver := range s.pending {
				deliver()
			}
			s.pending = nil
			for _, request := range s.client.DueLeaseRequests(now, func(string) quota.Amounts { return limits }) {
				if !s.homeReachable {
					s.client.Failed(request.Account)
					continue
				}
				lease := home.Grant(now, request.Account, fmt.Sprint(i), request.Demand, limits)
				s.pending = append(s.pending, func() { s.client.Granted(request.Account, lease) })
			}
		}
	}
	return admitted
}

// arrive sends the requests of one step to Admit and returns how many were admitted.
// Each admitted request ends at once.
func (s *simulatedEntry) arrive(now time.Duration, limits quota.Amounts, entries int) int {
	admitted := 0
	for s.arrivalsDue += s.arrivalsPerSecond * step.Seconds(); s.arrivalsDue >= 1; s.arrivalsDue-- {
		if s.client.Admit(now, "a", limits, entries, 1).OK {
			admitted++
			s.client.Done(now, "a", 0)
		}
	}
	return admitted
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// While the home answers, the entries together admit in any 2 s no more than
// the limit allows for 2 s, plus one burst, plus one request for each entry.
func TestReachableHomeKeepsEntriesTogetherWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(1, 200).Draw(t, "limit"))
		var entries []*simulatedEntry
		for range rapid.IntRange(1, 5).Draw(t, "entries") {
			entries = append(entries, newSimulatedEntry(0, true))
		}
		admitted := simulate(entries, quota.Amounts{Requests: limit}, 500, func(s *simulatedEntry) {
			if rapid.IntRange(0, 99).Draw(t, "change") == 0 {
				s.arrivalsPerSecond = float64(rapid.IntRange(0, 400).Draw(t, "load"))
			}
		})
		span := int(2 * time.Second / step)
		bound := limit*3 + float64(len(entries))
		for from := 0; from+span <= len(admitted); from++ {
			if got := sum(admitted[from : from+span]); float64(got) > bound {
				t.Fatalf("%d requests admitted in 2 s from step %d, more than the bound of %g", got, from, bound)
			}
		}
	})
}

// The valid leases of a home never add up to more than the limits, whatever the
// demands and the times of the lease requests.
func TestAnySequenceOfDemandsKeepsLeasesWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home := quota.NewHome(leaseLength)
		limits := quota.Amounts{Requests: 50, Tokens: 1000, Concurrency: 7}
		holders := map[string]quota.Lease{}
		until := map[string]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "lease requests") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			entry := rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "entry")
			holders[entry] = home.Grant(now, "a", entry, quota.Amounts{
				Requests:    float64(rapid.IntRange(0, 100).Draw(t, "requests")),
				Tokens:      float64(rapid.IntRange(0, 2000).Draw(t, "tokens")),
				Concurrency: rapid.IntRange(0, 10).Draw(t, "concurrency"),
			}, limits)
			until[entry] = now + leaseLength
			var all quota.Amounts
			for name, l := range holders {
				if now < until[name] {
					all.Requests += l.Requests
					all.Tokens += l.Tokens
					all.Concurrency += l.Concurrency
				}
			}
			if all.Requests > 50.001 || all.Tokens > 1000.001 || all.Concurrency > 7 {
				t.Fatalf("valid leases add up to %+v", all)
			}
		}
	})
}

// An account whose load is uneven across the entries must still get more than 90 %
// of its limit, and no more than 101 %.
func TestUnevenLoadAdmitsNearlyTheLimit(t *testing.T) {
	g := NewWithT(t)
	entries := []*simulatedEntry{newSimulatedEntry(270, true), newSimulatedEntry(20, true), newSimulatedEntry(10, true)}
	admitted := simulate(entries, quota.Amounts{Requests: 100}, 1500, func(*simulatedEntry) {})
	settled := admitted[500:]
	rate := float64(sum(settled)) / (float64(len(settled)) * step.Seconds())
	t.Logf("limit 100/s, offered 300/s through 3 entries 27:2:1: admitted %.1f/s", rate)
	g.Expect(rate).To(BeNumerically(">", 90))
	g.Expect(rate).To(BeNumerically("<=", 101))
}

// Two entries together admit the limit when each keeps to an even share of it.
func TestUnreachableHomeLimitsEntriesToEvenShares(t *testing.T) {
	g := NewWithT(t)
	entries := []*simulatedEntry{newSimulatedEntry(300, false), newSimulatedEntry(300, false)}
	admitted := simulate(entries, quota.Amounts{Requests: 100}, 500, func(*simulatedEntry) {})
	g.Expect(sum(admitted)).To(BeNumerically("~", 1000, 20))
}

// An admission may overdraw the token bucket; the next one is refused until the
// bucket is refilled. A request beyond the concurrency limit is refused until
// another one is done.
func TestOverdrawnTokensAndFullConcurrencyRefuseRequests(t *testing.T) {
	g := NewWithT(t)
	c := quota.NewClient(renewInterval)
	limits := quota.Amounts{Tokens: 100, Concurrency: 2}
	g.Expect(c.Admit(0, "a", limits, 1, 50).OK).To(BeTrue())
	refused := c.Admit(0, "a", limits, 1, 50)
	g.Expect(refused.Reason).To(Equal("tokens"))
	g.Expect(refused.RetryAfter).To(BeNumerically("~", 500*time.Millisecond, 20*time.Millisecond))
	g.Expect(c.Admit(time.Second, "a", limits, 1, 0).OK).To(BeTrue())
	g.Expect(c.Admit(time.Second, "a", limits, 1, 0).Reason).To(Equal("concurrency"))
	c.Done(time.Second, "a", 0)
	g.Expect(c.Admit(time.Second, "a", limits, 1, 0).OK).To(BeTrue())
}

func Example() {
	home := quota.NewHome(2 * time.Second)
	limits := quota.Amounts{Requests: 90}
	fmt.Println(home.Grant(0, "geodesia", "entry-1", quota.Amounts{Requests: 60}, limits).Requests)
	fmt.Println(home.Grant(0, "geodesia", "entry-2", quota.Amounts{Requests: 60}, limits).Requests)
	fmt.Println(home.Grant(time.Second, "geodesia", "entry-1", quota.Amounts{Requests: 60}, limits).Requests)
	// Output:
	// 60
	// 30
	// 45
}
