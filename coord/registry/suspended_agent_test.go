package registry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/registry"
)

// TestNoGrantWhileADroppedAgentMayBeSuspended suspends an agent after it has accepted a
// start and before it sends the request to the engine. The list drops the agent
// meanwhile, and the ID is submitted again through another entry. The first start still
// happens when the agent resumes, so no other may be granted.
func TestNoGrantWhileADroppedAgentMayBeSuspended(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	var all []membership.Instance
	for i := range 4 {
		all = append(all, membership.Instance{ID: fmt.Sprint("a", i)})
	}
	key := registry.Key{Account: "crew"}
	for registry.Choose(key, all).ID != "a0" {
		key.RequestID += "x"
	}
	pool := map[string]*registry.Registrar{}
	for _, a := range all {
		pool[a.ID] = registry.New(registry.Config{Self: a.ID, Horizon: horizon, Lease: lease}, now)
		pool[a.ID].SetView(now, all)
	}
	now += 2 * horizon
	ask := func(at, submission string, located bool) registry.Verdict {
		verdict, _ := pool[at].Register(now, registry.Registration{
			Key: key, Located: located, Holder: registry.Holder{Submission: submission, Attempt: 1},
		})
		return verdict
	}
	g.Expect(ask("a0", "old", false)).To(Equal(registry.Granted))
	g.Expect(pool["a0"].MayStart(now, key, "old")).To(BeTrue(), "accepted; the agent is suspended from here on")

	rest := all[1:]
	for _, a := range rest {
		pool[a.ID].SetView(now, rest)
	}
	next := registry.Choose(key, rest).ID
	g.Expect(ask(next, "new", false)).To(Equal(registry.Unsure))
	now += lease
	for _, a := range rest {
		pool[a.ID].Fence(now, key, "new")
	}
	g.Expect(ask(next, "new", true)).NotTo(Equal(registry.Granted), "the start at the suspended agent still happens")
}
