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

// All entries that know the same members must agree on their groups, and the groups must
// be of even size, as must their parts of the endpoints.
func TestGroupsDivideEntriesAndEndpointsEvenly(t *testing.T) {
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
		preferredBy := map[string][]string{} // entries by endpoint
		groups := map[string][]string{}
		for i, name := range names {
			s := New(Config{}, rand.New(rand.NewSource(1)))
			s.SetEndpoints(rows)
			s.SetEntries(name, slices.Concat(names[:i], names[i+1:]))
			for _, e := range s.endpointsOf("model") {
				if !e.outsideGroup {
					preferredBy[e.ID] = append(preferredBy[e.ID], name)
				}
			}
			groups[name] = append(s.Group(), name)
			slices.Sort(groups[name])
		}
		count := max(entries/minGroupEntries, 1)
		for _, group := range groups {
			g.Expect(len(group)).To(BeNumerically(">=", entries/count))
			g.Expect(len(group)).To(BeNumerically("<=", entries/count+1))
			for _, other := range group {
				g.Expect(groups[other]).To(Equal(group))
			}
		}
		for _, row := range rows {
			at := preferredBy[row.ID]
			g.Expect(at).NotTo(BeEmpty(), "every endpoint belongs to a group")
			if endpoints < count*minGroupEndpoints {
				g.Expect(at).To(HaveLen(entries), "too few endpoints to divide")
				continue
			}
			slices.Sort(at)
			g.Expect(at).To(Equal(groups[at[0]]))
		}
	})
}
