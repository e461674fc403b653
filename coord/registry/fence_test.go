package registry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/registry"
)

// TestOnlyTheFencingSubmissionMayStart lets an entry with an old view register at the old
// registrar, while another entry with the new view has located the ID and registered at
// the new registrar. Both are granted, and only the submission that fenced the ID may
// start it.
func TestOnlyTheFencingSubmissionMayStart(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	var all []membership.Instance
	for i := range 4 {
		all = append(all, membership.Instance{ID: fmt.Sprint("a", i)})
	}
	key := registry.Key{Account: "crew"}
	for registry.Choose(key, all).ID != "a3" {
		key.RequestID += "x"
	}
	pool := map[string]*registry.Registrar{}
	for _, a := range all {
		pool[a.ID] = registry.New(registry.Config{Self: a.ID, Horizon: horizon, Lease: lease}, now)
		pool[a.ID].SetView(now, all[:3])
	}
	now += 2 * horizon
	pool["a3"].SetView(now, all)
	ask := func(at, entry string, located bool) registry.Verdict {
		verdict, _ := pool[at].Register(now, registry.Registration{
			Key: key, Located: located, Holder: registry.Holder{Submission: entry, Attempt: 1},
		})
		return verdict
	}
	g.Expect(ask("a3", "new", false)).To(Equal(registry.Unsure))
	g.Expect(ask("a3", "new", true)).To(Equal(registry.Unsure), "one grant lease has not passed")
	now += lease
	for _, r := range pool {
		r.Fence(now, key, "new")
	}
	g.Expect(ask(registry.Choose(key, all[:3]).ID, "old", false)).To(Equal(registry.Granted))
	g.Expect(ask("a3", "new", true)).To(Equal(registry.Granted))
	starts := map[string]int{}
	for _, r := range pool {
		for _, entry := range []string{"old", "new"} {
			if r.MayStart(now, key, entry) {
				starts[entry]++
			}
		}
	}
	g.Expect(starts).To(Equal(map[string]int{"new": 4}))
}
