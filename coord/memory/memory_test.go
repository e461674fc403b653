package memory_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/memory"
)

// Guards against entries that place at the same time, before they hear of each other, exceeding an engine's
// memory: each in its even part of what is free.
func TestEvenPartsOfAllEntriesFitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 1_000_000).Draw(t, "total")
		held := rapid.IntRange(0, total).Draw(t, "held")
		others := rapid.IntRange(0, 40).Draw(t, "others")
		sum := held
		for range others + 1 {
			room := memory.Room{Total: total, Held: held, Others: others, Usual: total}
			for _, need := range rapid.SliceOfN(rapid.IntRange(1, 1+total/8), 0, 20).Draw(t, "needs") {
				if room.Fits(need, 0) {
					room.Held, room.Unconfirmed, sum = room.Held+need, room.Unconfirmed+need, sum+need
				}
			}
		}
		if sum > total {
			t.Fatalf("%d of %d tokens", sum, total)
		}
	})
}

// Guards against reservations that give way to each other, or both go first.
func TestReservationsPrecedeEachOtherInOneOrder(t *testing.T) {
	g := NewWithT(t)
	first := 0
	for _, engine := range []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"} {
		g.Expect(memory.Precedes("f1", "f2", engine)).NotTo(Equal(memory.Precedes("f2", "f1", engine)))
		if memory.Precedes("f1", "f2", engine) {
			first++
		}
	}
	g.Expect(first).To(And(BeNumerically(">", 0), BeNumerically("<", 10)), "each goes first somewhere")
	room := memory.Room{Total: 100, Held: 20, Reserved: 120, OthersFirst: 60}
	g.Expect(room.FitsReserved(20)).To(BeTrue())
	g.Expect(room.FitsReserved(21)).To(BeFalse())
}

// Guards against absurd token counts, or none, making a request look small.
func TestNeedIsBoundedAndNeverNegative(t *testing.T) {
	g := NewWithT(t)
	g.Expect(memory.Need(600, 300, 50)).To(Equal(900))
	g.Expect(memory.Need(600, 0, 50)).To(Equal(650))
	g.Expect(memory.Need(-5, -5, -5)).To(BeZero())
	g.Expect(memory.Need(1<<62, 1<<62, 0)).To(Equal(2 * memory.MaxNeed))
	var n memory.Needs
	g.Expect(n.Usual()).To(BeNumerically(">", 0))
	for range 100 {
		n.Observe(1000)
	}
	g.Expect(n.Usual()).To(BeNumerically("~", 1000, 50))
}
