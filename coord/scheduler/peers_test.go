package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/memory"
)

// The sums over the reports of other entries must equal the sums of the reports that
// have not expired, after any sequence of reports and expirations.
func TestPeerSumsEqualTheReportsNotExpired(t *testing.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		p, now := newPeers(), time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "expire") {
				p.expire(now, time.Second)
				continue
			}
			r := Report{TTL: time.Duration(rapid.IntRange(0, 2000).Draw(t, "ttl")) * time.Millisecond, Loads: map[string]Load{}, Demand: map[string]int{}}
			for range rapid.IntRange(0, 4).Draw(t, "loads") {
				id := fmt.Sprint("e-", name.Draw(t, "endpoint"))
				r.Loads[id] = Load{
					Running: rapid.IntRange(0, 5).Draw(t, "running"), PromptTokens: rapid.IntRange(0, 900).Draw(t, "tokens"),
					MemoryTokens: rapid.SampledFrom([]int{0, 700, 5000}).Draw(t, "memory"), ReservedTokens: rapid.SampledFrom([]int{0, 300}).Draw(t, "reserved"),
				}
				r.Demand[name.Draw(t, "service")] = rapid.IntRange(0, 9).Draw(t, "demand")
			}
			p.set(now, name.Draw(t, "entry"), r)
		}
		p.setSelf("self")
		loads, demand := map[string]peerLoad{}, map[string]int{}
		for from, r := range p.reports {
			for id, l := range r.Loads {
				sum := loads[id]
				sum.Running, sum.PromptTokens, sum.ReservedTokens = sum.Running+l.Running, sum.PromptTokens+l.PromptTokens, sum.ReservedTokens+l.ReservedTokens
				if l.MemoryTokens == 0 {
					sum.unsizedRunning, sum.unsizedPrompts = sum.unsizedRunning+l.Running, sum.unsizedPrompts+l.PromptTokens
				} else if l.Running > 0 {
					sum.MemoryTokens += max(l.MemoryTokens, l.PromptTokens)
				}
				if memory.Precedes(from, "self", id) {
					sum.reservedFirst += l.ReservedTokens
				}
				loads[id] = sum
			}
			for service, n := range r.Demand {
				demand[service] += n
			}
		}
		for id, l := range loads {
			g.Expect(p.loads[id]).To(Equal(l))
		}
		for id, l := range p.loads {
			g.Expect(loads[id]).To(Equal(l), "expired reports must leave no rest in the sums")
		}
		for service, n := range p.demand {
			g.Expect(demand[service]).To(Equal(n))
		}
		for service, n := range demand {
			g.Expect(p.demand[service]).To(Equal(n))
		}
	})
}
