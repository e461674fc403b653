package front

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against the wrong caller losing its transfer when others wait for room: one that makes
// progress while another holds still, one that is faster than the least rate, or one that waits for
// this process.
func TestTransferThatHoldsMostAndMovesLeastEndsFirst(t *testing.T) {
	g := NewWithT(t)
	var order []string
	synctest.Test(t, func(t *testing.T) {
		all := newTransfers()
		stop := make(chan struct{})
		var moving sync.WaitGroup
		begin := func(name string, room int64, bytesEachTenth int) {
			x := all.begin(name, room, func() { order = append(order, name) })
			moving.Go(func() {
				for bytesEachTenth > 0 {
					if _, err := all.move(x, func() (int, error) { time.Sleep(100 * time.Millisecond); return bytesEachTenth, nil }); err != nil {
						return
					}
					select {
					case <-stop:
						return
					default:
					}
				}
				_, _ = all.move(x, func() (int, error) { <-stop; return 0, nil })
			})
		}
		begin("fast", 4<<20, 100_000)
		begin("slow", 3<<20, 100)
		begin("slow and small", 1<<20, 100)
		begin("still", 2<<20, 0)
		begin("still and small", 100_000, 0)
		all.begin("waits for this process", 4<<20, func() { order = append(order, "waits for this process") })
		g.Expect(all.endOne()).To(BeNil(), "none is ended in its first second")
		time.Sleep(2500 * time.Millisecond)
		for range 10 {
			all.endOne()
			time.Sleep(endTransferInterval + time.Millisecond)
		}
		close(stop)
		moving.Wait()
	})
	g.Expect(order).To(Equal([]string{"still", "still and small", "slow", "slow and small"}))
}
