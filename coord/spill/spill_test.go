package spill_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/spill"
)

const ms = time.Millisecond

func domain(name string, slots, demand float64) spill.Domain {
	return spill.Domain{Name: name, Slots: slots, Demand: demand, Entries: 5, Heard: 5, Age: 50 * ms, MaxAge: time.Second}
}

func decide(own string, domains ...spill.Domain) spill.Decision {
	return spill.New(spill.DefaultConfig()).Decide(time.Second, spill.Load{Own: own, Domains: domains, Work: 2, TimeLeft: 3 * time.Second})
}

// Whatever the demands are, the domains that act on the same ones never send each other requests, and
// send no domain more than it has free.
func TestDomainsNeitherExchangeRequestsNorOverfillOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var domains []spill.Domain
		for i := range rapid.IntRange(2, 7).Draw(t, "domains") {
			domains = append(domains, domain(fmt.Sprint(i), float64(rapid.IntRange(0, 140).Draw(t, "slots")), float64(rapid.IntRange(0, 300).Draw(t, "demand"))))
		}
		received, sends := map[string]float64{}, map[string]bool{}
		for _, each := range domains {
			d := decide(each.Name, domains...)
			sum := 0.0
			for to, n := range d.To {
				received[to] += n
				sum += n
			}
			sends[each.Name] = d.Leaving > 0
			g.Expect(sum).To(BeNumerically("~", d.Leaving, 1e-6))
			g.Expect(d.Leaving).To(BeNumerically("<=", each.Demand+1e-6))
			g.Expect(d.To).NotTo(HaveKey(each.Name))
			g.Expect(d.Share()).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1)))
		}
		for _, each := range domains {
			g.Expect(received[each.Name]).To(BeNumerically("<=", each.Slots+1e-6))
			g.Expect(received[each.Name] > 1e-9 && sends[each.Name]).To(BeFalse(), "domain %s sends and takes", each.Name)
		}
	})
}

// The part that leaves grows with the demand from nothing, goes where slots are free, in proportion to
// them, and less is sent to a domain the older its reports are.
func TestWhatLeavesFollowsDemandAndRoom(t *testing.T) {
	g := NewWithT(t)
	g.Expect(decide("a", domain("a", 100, 80), domain("b", 100, 10)).Leaving).To(BeZero())
	some := decide("a", domain("a", 100, 110), domain("b", 100, 10), domain("c", 100, 50))
	g.Expect(some.Leaving).To(BeNumerically("~", 19, 1)) // above nine tenths of the slots and what may wait for 20 ms
	g.Expect(some.To["b"]).To(BeNumerically(">", 1.5*some.To["c"]))
	g.Expect(some.Wait).To(Equal(200 * ms))

	old := domain("b", 100, 10)
	old.Age = 900 * ms
	g.Expect(decide("a", domain("a", 100, 150), old).Leaving).To(BeNumerically("<", 10))
	old.Age = 1100 * ms
	g.Expect(decide("a", domain("a", 100, 150), old).Leaving).To(BeZero())
	silent := domain("b", 100, 0)
	silent.Heard = 2
	g.Expect(decide("a", domain("a", 100, 150), silent).Leaving).To(BeZero(), "most of its entries are not heard")
	alone := domain("b", 100, 0)
	alone.Entries, alone.Heard = 0, 0
	g.Expect(decide("a", domain("a", 100, 150), alone).Leaving).To(BeNumerically(">", 50), "endpoints without entries beside them")
	g.Expect(decide("a", domain("a", 100, 150), domain("b", 0, 0)).Leaving).To(BeZero(), "no endpoints")
}

// A domain that has just sent requests takes none, though its demand falls at once: two waves that meet
// must not exchange requests.
func TestADomainThatHasSentTakesNoneForAWhile(t *testing.T) {
	g := NewWithT(t)
	p := spill.New(spill.DefaultConfig())
	step := func(at time.Duration, a, b float64) spill.Decision {
		return p.Decide(at, spill.Load{Own: "a", Domains: []spill.Domain{domain("a", 100, a), domain("b", 100, b)}, Work: 2, TimeLeft: time.Second})
	}
	step(0, 50, 150)
	for at := 10 * ms; at < 250*ms; at += 10 * ms {
		g.Expect(step(at, 150, 20).Leaving).To(BeZero(), "at %v", at)
	}
	g.Expect(step(2*time.Second, 150, 20).Leaving).To(BeNumerically(">", 40))
}

// The quotas of entries that have less than one request each add up to the number all the same.
func TestQuotasAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n, number := rapid.IntRange(1, 60).Draw(t, "entries"), rapid.Float64Range(0, 80).Draw(t, "number")
		sum := 0
		for i := range n {
			sum += spill.Quota(number, 2, float64(2*n), (float64(i)+0.5)/float64(n))
		}
		g.Expect(float64(sum)).To(BeNumerically("~", number, 1))
		g.Expect(spill.Quota(number, 0, 10, 0.99)).To(BeZero())
	})
}
