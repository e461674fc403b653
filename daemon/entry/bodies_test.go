package entry

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// Lower tiers cannot use the memory that is reserved for the most urgent one, and a
// wait that is cancelled leaves no memory acquired.
func TestLowerTiersLeaveBodyMemoryForMostUrgentTier(t *testing.T) {
	g := NewWithT(t)
	m := newBodyMemory(100, 10)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	release, err := m.acquire(t.Context(), false, 70)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = m.acquire(cancelled, false, 10)
	g.Expect(err).To(HaveOccurred())
	releaseUrgent, err := m.acquire(t.Context(), true, 30)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = m.acquire(cancelled, false, 5)
	g.Expect(err).To(HaveOccurred(), "all memory is in use")
	release()
	releaseUrgent()
	for range 2 {
		release, err = m.acquire(t.Context(), false, 75)
		g.Expect(err).NotTo(HaveOccurred())
		release()
	}
}
