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
			slices.Sort(at)
			if endpoints >= count*minGroupEndpoints {
				g.Expect(at).To(Equal(groups[at[0]]))
				continue
			}
			parts := max(endpoints/minGroupEndpoints, 1)
			g.Expect(len(at)).To(BeNumerically(">=", entries/parts))
			g.Expect(len(at)).To(BeNumerically("<=", entries/parts+1))
			for _, other := range rows {
				if slices.Contains(preferredBy[other.ID], at[0]) {
					g.Expect(preferredBy[other.ID]).To(ConsistOf(at), "entries that share one endpoint share all of theirs")
				}
			}
		}
		for _, name := range names {
			preferred := 0
			for _, at := range preferredBy {
				if slices.Contains(at, name) {
					preferred++
				}
			}
			g.Expect(preferred).To(BeNumerically(">=", min(endpoints, minGroupEndpoints)), "an entry can choose")
			g.Expect(preferred).To(BeNumerically("<=", endpoints/max(min(count, endpoints/minGroupEndpoints), 1)+1), "no more than its part")
		}
	})
}

// sampledEntries is how many entries preferences looks at.
const sampledEntries = 12

// preferences returns the pairs of entry and endpoint that groups bring together.
func preferences(entries, endpoints []string) map[[2]string]bool {
	var rows []directory.Endpoint
	for _, id := range endpoints {
		rows = append(rows, directory.Endpoint{ID: id, Service: "model", Born: 1})
	}
	pairs := map[[2]string]bool{}
	for i, name := range entries[:min(len(entries), sampledEntries)] {
		s := New(Config{}, rand.New(rand.NewSource(1)))
		s.SetEndpoints(rows)
		s.SetEntries(name, slices.Concat(entries[:i], entries[i+1:]))
		for _, e := range s.endpointsOf("model") {
			if !e.outsideGroup {
				pairs[[2]string{name, e.ID}] = true
			}
		}
	}
	return pairs
}

func numbered(prefix string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint(prefix, i)
	}
	return names
}

// One entry or endpoint more or less must not make all entries choose among other endpoints than
// before, nor among all of them, whatever the numbers are.
func TestOneEntryOrEndpointMoreMovesFewPreferences(t *testing.T) {
	// Where the number of groups changes, one part of each group changes as well.
	const mostMoved, mostMovedWithGroups = 0.2, 0.5
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		salt := rapid.StringMatching("[a-z]{3}").Draw(t, "salt")
		n, m := rapid.IntRange(sampledEntries, 400).Draw(t, "entries"), rapid.IntRange(1, 600).Draw(t, "endpoints")
		moreEntries, moreEndpoints := rapid.IntRange(0, 1).Draw(t, "entry"), rapid.IntRange(0, 1).Draw(t, "endpoint")
		before := preferences(numbered("front-"+salt, n), numbered("i-"+salt, m))
		after := preferences(numbered("front-"+salt, n+moreEntries), numbered("i-"+salt, m+moreEndpoints))
		parts := func(n, m int) int { return min(groupCount(n), max(m/minGroupEndpoints, 1)) }
		from, to := parts(n, m), parts(n+moreEntries, m+moreEndpoints)
		kept := 0
		for pair := range before {
			if after[pair] {
				kept++
			}
		}
		moved := 1 - float64(kept)/float64(len(before))
		allowed := mostMoved
		if from != to {
			allowed = mostMovedWithGroups
		}
		g.Expect(moved).To(BeNumerically("<=", allowed+1/float64(to)*float64(max(to-from, 0))), "%d entries, %d endpoints, %d to %d parts", n, m, from, to)
	})
}

// The largest deployment from 74 fronts to 80, and one whose endpoints fall from 46 to 39: no
// number of fronts or endpoints does away with the groups.
func TestGroupsHaveNoCliff(t *testing.T) {
	g := NewWithT(t)
	for _, c := range [][2]int{{74, 117}, {75, 117}, {80, 117}, {25, 46}, {25, 39}, {300, 117}, {400, 3000}} {
		entries := numbered("front-", c[0])
		s := New(Config{}, rand.New(rand.NewSource(1)))
		var rows []directory.Endpoint
		for _, id := range numbered("i-", c[1]) {
			rows = append(rows, directory.Endpoint{ID: id, Service: "model", Born: 1})
		}
		s.SetEndpoints(rows)
		s.SetEntries(entries[0], entries[1:])
		preferred := 0
		for _, e := range s.endpointsOf("model") {
			if !e.outsideGroup {
				preferred++
			}
		}
		g.Expect(preferred).To(BeNumerically(">=", minGroupEndpoints), "%v", c)
		g.Expect(preferred).To(BeNumerically("<", max(4*minGroupEndpoints, c[1]*minGroupEntries*2/c[0])), "%v", c)
	}
}
