package scheduler_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

// fakeVersions admits v2 for a number of requests, and nothing to a closed version.
type fakeVersions struct {
	tries  int
	closed string
	placed map[string]int
}

func (v *fakeVersions) Admits(_ *scheduler.Request, _, version string) bool {
	return version != v.closed && (version != "v2" || v.placed["v2"] < v.tries)
}
func (v *fakeVersions) Prefers(_, version string) bool { return version == "v2" }
func (v *fakeVersions) Closed(_, version string) bool  { return version == v.closed }
func (v *fakeVersions) Placed(_ *scheduler.Request, p scheduler.Placement) {
	v.placed[p.Version]++
}

// A version gets the requests that it is admitted to, within one plan as well, and a closed one
// gets nothing, not even a stream that it began. A request that only a closed version could serve
// waits or, if it is bound to the version, is refused.
func TestRequestsAreOnlyPlacedAtAdmittedVersions(t *testing.T) {
	endpoints := []directory.Endpoint{
		engineOfVersion("a", "v1", false), engineOfVersion("b", "v1", false), engineOfVersion("c", "v2", false), engineOfVersion("d", "v2", false),
	}
	for name, c := range map[string]struct {
		versions fakeVersions
		bound    string
		placed   map[string]int
		refused  int
	}{
		"one try":                  {versions: fakeVersions{tries: 1}, placed: map[string]int{"v1": 2, "v2": 1}},
		"none":                     {versions: fakeVersions{}, placed: map[string]int{"v1": 2}},
		"all":                      {versions: fakeVersions{tries: 9}, placed: map[string]int{"v1": 1, "v2": 2}},
		"closed":                   {versions: fakeVersions{tries: 9, closed: "v2"}, placed: map[string]int{"v1": 2}},
		"stream of closed version": {versions: fakeVersions{tries: 9, closed: "v2"}, bound: "v2", placed: map[string]int{}, refused: 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newScheduler(endpoints...)
			c.versions.placed = map[string]int{}
			s.SetVersions(&c.versions)
			for id := range uint64(3) {
				r := streamRequest(id+1, 0)
				r.Version = c.bound
				s.Enqueue(r)
			}
			plan := s.Plan(0)
			got := map[string]int{}
			for _, p := range plan.Placements {
				got[p.Version]++
			}
			g.Expect(got).To(Equal(c.placed))
			g.Expect(c.versions.placed).To(Equal(c.placed), "each placement is recorded")
			g.Expect(plan.Refusals).To(HaveLen(c.refused))
		})
	}
}
