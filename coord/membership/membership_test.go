package membership_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/membership"
)

func TestRemovingAnInstanceMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(2, 30).Draw(t, "instances")
		var all []membership.Instance
		for i := range n {
			all = append(all, membership.Instance{ID: fmt.Sprint("i-", i)})
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		rest := append(append([]membership.Instance{}, all[:removed]...), all[removed+1:]...)
		key := rapid.String().Draw(t, "key")
		before := membership.Rendezvous(key, all)[0]
		after := membership.Rendezvous(key, rest)[0]
		if before.ID != all[removed].ID {
			g.Expect(after).To(Equal(before))
		}
	})
}

func ExampleRendezvous() {
	agents := []membership.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	fmt.Println(len(membership.Rendezvous("request-1", agents)))
	// Output: 3
}

func TestSameIsTrueOnlyForCopiesOfOneView(t *testing.T) {
	g := NewWithT(t)
	rows := []membership.Instance{{ID: "a"}}
	view := membership.NewView(rows)
	again := view
	g.Expect(view.Same(again)).To(BeTrue())
	g.Expect(view.Same(membership.NewView(rows))).To(BeFalse())
	g.Expect(membership.View{}.Same(membership.View{})).To(BeFalse())
}
