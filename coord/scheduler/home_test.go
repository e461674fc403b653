package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/directory"
)

// Entries with one view agree on their groups; the groups are even, and so are their
// parts of the endpoints.
func TestGroupsShareTheEndpointsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		entries, endpoints := rapid.IntRange(1, 60).Draw(t, "entries"), rapid.IntRange(1, 120).Draw(t, "endpoints")
		salt := rapid.StringMatching("[a-z]{3}").Draw(t, "salt")
		var names []string
		for i := range entries {
			names = append(names, fmt.Sprint("front-", salt, i))
		}
		var rows []directory.Endpoint
		for i := range endpoints {
			rows = append(rows, directory.Endpoint{ID: fmt.Sprint("i-", salt, i), Service: "model", Born: 1})
		}
		homes := map[string][]string{} // entries by endpoint
		groups := map[string][]string{}
		for i, name := range names {
			s := New(Config{}, rand.New(rand.NewSource(1)))
			s.SetEndpoints(rows)
			s.SetEntries(name, slices.Concat(names[:i], names[i+1:]))
			for _, e := range s.endpointsOf("model") {
				if !e.away {
					homes[e.ID] = append(homes[e.ID], name)
				}
			}
			groups[name] = append(s.Group(), name)
			slices.Sort(groups[name])
		}
		count := max(entries/groupEntries, 1)
		for _, group := range groups {
			g.Expect(len(group)).To(BeNumerically(">=", entries/count))
			g.Expect(len(group)).To(BeNumerically("<=", entries/count+1))
			for _, other := range group {
				g.Expect(groups[other]).To(Equal(group))
			}
		}
		for _, row := range rows {
			at := homes[row.ID]
			g.Expect(at).NotTo(BeEmpty(), "an endpoint is home to somebody")
			if endpoints < count*groupEndpoints {
				g.Expect(at).To(HaveLen(entries), "too few endpoints to divide")
				continue
			}
			slices.Sort(at)
			g.Expect(at).To(Equal(groups[at[0]]))
		}
	})
}
