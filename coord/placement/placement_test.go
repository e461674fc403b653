package placement_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/placement"
)

var config = placement.Config{
	Self: "entry-1", FailureDomain: "epe", SubsetSize: 4, StatusHalfLife: time.Second,
	DomainCost: 3 * time.Millisecond, DenialBackoff: 200 * time.Millisecond, MaxPrefixes: 100, PrefixAffinity: true,
}

func instance(n int, state membership.State) membership.Instance {
	return membership.Instance{
		ID: fmt.Sprint("i", n), Role: membership.RoleAgent, Pool: "p", Address: fmt.Sprint("a", n),
		FailureDomain: "epe", State: state,
	}
}

// Whatever was reported, denied and listed, a pick never holds an agent that is leaving,
// unlisted, backed off, excluded or of another pool, nor one twice, and it is full when
// enough agents are eligible.
func TestPickReturnsOnlyEligibleAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := placement.New(config, rand.New(rand.NewSource(1)))
		listed := map[string]bool{}
		backoffUntil := map[string]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			address := fmt.Sprint("a", rapid.IntRange(0, 9).Draw(t, "agent"))
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				var instances []membership.Instance
				previous := backoffUntil
				listed, backoffUntil = map[string]bool{}, map[string]time.Duration{}
				for n := range rapid.IntRange(0, 10).Draw(t, "listed") {
					state := rapid.SampledFrom([]membership.State{membership.StateLive, membership.StateLeaving}).Draw(t, "state")
					instances = append(instances, instance(n, state))
					listed[fmt.Sprint("a", n)] = state == membership.StateLive
					backoffUntil[fmt.Sprint("a", n)] = previous[fmt.Sprint("a", n)]
				}
				other := instance(99, membership.StateLive)
				other.Pool = "other"
				p.SetView(membership.NewView(append(instances, other)))
			case 1:
				p.UpdateStatus(now, address, placement.Status{Backlog: time.Duration(rapid.IntRange(0, 9).Draw(t, "backlog")) * time.Second})
			case 2:
				p.BackOff(now, address, 0)
				backoffUntil[address] = now + config.DenialBackoff
			default:
				exclude := []string{fmt.Sprint("a", rapid.IntRange(0, 9).Draw(t, "excluded"))}
				key := rapid.SampledFrom([]string{"", "key"}).Draw(t, "key")
				n := rapid.IntRange(1, 3).Draw(t, "n")
				picked := p.Pick(now, placement.Query{Pool: "p", Key: key, Exclude: exclude, Count: n, PromptTokens: 100})
				for i, a := range picked {
					if !listed[a] || now < backoffUntil[a] || slices.Contains(exclude, a) || slices.Contains(picked[:i], a) {
						t.Fatalf("picked %v at %s", picked, now)
					}
				}
				eligible := 0
				for a, live := range listed {
					if live && now >= backoffUntil[a] && !slices.Contains(exclude, a) {
						eligible++
					}
				}
				short := len(picked) < min(n, eligible) && (len(listed) <= config.SubsetSize || len(picked) == 0)
				if key == "" && short {
					t.Fatalf("picked %v, %d eligible", picked, eligible)
				}
			}
		}
	})
}

func TestPickPrefersShortBacklogFastEngineCachedPrefixAndOwnDomain(t *testing.T) {
	g := NewWithT(t)
	p := placement.New(config, rand.New(rand.NewSource(1)))
	far := instance(3, membership.StateLive)
	far.FailureDomain = "lekki"
	p.SetView(membership.NewView([]membership.Instance{instance(1, membership.StateLive), instance(2, membership.StateLive), far}))
	best := func(now time.Duration, query placement.Query) string {
		query.Pool, query.Count = "p", 1
		return p.Pick(now, query)[0]
	}
	for _, a := range []string{"a1", "a2", "a3"} {
		p.UpdateStatus(0, a, placement.Status{TokensPerSecond: 40, PrefillPerSecond: 1000})
	}
	for range 20 {
		g.Expect(best(0, placement.Query{})).NotTo(Equal("a3"), "another failure domain costs more")
	}
	p.RecordPrefixes("a3", []uint64{1, 2, 3})
	g.Expect(best(0, placement.Query{PromptTokens: 3000, Prefixes: []uint64{1, 2, 9}})).To(Equal("a3"), "its cache holds the prefix")
	p.UpdateStatus(0, "a3", placement.Status{TokensPerSecond: 40, PrefillPerSecond: 1000, Backlog: 10 * time.Second})
	g.Expect(best(0, placement.Query{PromptTokens: 3000, Prefixes: []uint64{1, 2, 9}})).NotTo(Equal("a3"), "a long backlog outweighs a prefix")
	p.UpdateStatus(0, "a1", placement.Status{TokensPerSecond: 10, PrefillPerSecond: 1000})
	g.Expect(best(0, placement.Query{MaxTokens: 400})).To(Equal("a2"), "the faster engine takes the long answer")
	g.Expect(best(10*time.Second, placement.Query{PromptTokens: 3000, Prefixes: []uint64{1, 2, 9}})).To(Equal("a3"), "an old backlog counts little")
}

// Each entry picks among a few agents of a large pool, and together the entries reach
// almost all of them.
func TestSubsetsCoverALargePool(t *testing.T) {
	g := NewWithT(t)
	var instances []membership.Instance
	for n := range 2700 {
		instances = append(instances, instance(n, membership.StateLive))
	}
	view := membership.NewView(instances)
	entriesPerAgent := map[string]int{}
	for n := range 380 {
		c := config
		c.Self, c.SubsetSize = fmt.Sprint("entry-", n), 48
		p := placement.New(c, rand.New(rand.NewSource(1)))
		p.SetView(view)
		for _, a := range p.Pick(0, placement.Query{Pool: "p", Count: 48}) {
			entriesPerAgent[a]++
		}
	}
	most := 0
	for _, n := range entriesPerAgent {
		most = max(most, n)
	}
	t.Logf("380 entries, 2700 agents, subsets of 48: %d agents reached, at most %d entries on one", len(entriesPerAgent), most)
	g.Expect(len(entriesPerAgent)).To(BeNumerically(">", 2690))
	g.Expect(most).To(BeNumerically("<", 25))
}

func Example() {
	p := placement.New(config, rand.New(rand.NewSource(1)))
	p.SetView(membership.NewView([]membership.Instance{
		instance(1, membership.StateLive), instance(2, membership.StateLeaving), instance(3, membership.StateLive),
	}))
	p.UpdateStatus(0, "a1", placement.Status{Backlog: 4 * time.Second})
	fmt.Println(p.Pick(0, placement.Query{Pool: "p", Count: 2}))
	// Output: [a3 a1]
}
