package replay_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/replay"
)

// TestEachOffsetIsDeliveredOnceInOrder adds records repeatedly and out of order, lets the
// log drop records and skips offsets, and compares what is delivered with the plain
// sequence of offsets.
func TestEachOffsetIsDeliveredOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const size = 60
		start := rapid.Int64Range(0, 5).Draw(t, "start")
		r := replay.New(start)
		want, earliest := start, int64(0)
		check := func(ready []replay.Record) {
			for _, record := range ready {
				g.Expect(record.Offset).To(Equal(want))
				g.Expect(string(record.Data)).To(Equal(fmt.Sprint(want)))
				want++
			}
			g.Expect(r.Next()).To(Equal(want))
			g.Expect(r.NeedsSnapshot()).To(Equal(earliest > want))
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				offsets := rapid.SliceOfN(rapid.Int64Range(0, size), 1, 12).Draw(t, "offsets")
				var records []replay.Record
				for _, o := range offsets {
					records = append(records, replay.Record{Offset: o, Data: []byte(fmt.Sprint(o))})
				}
				check(r.Add(records...))
			},
			"trim": func(t *rapid.T) {
				to := rapid.Int64Range(0, size).Draw(t, "earliest")
				earliest = max(earliest, to)
				r.SetBounds(to, to)
				check(nil)
			},
			"jump": func(t *rapid.T) {
				to := rapid.Int64Range(0, size).Draw(t, "to")
				want = max(want, to)
				check(r.SkipTo(to))
			},
		})
	})
}

func ExampleSequencer() {
	r := replay.New(0)
	fmt.Println(len(r.Add(replay.Record{Offset: 1})))
	fmt.Println(len(r.Add(replay.Record{Offset: 0}, replay.Record{Offset: 1})))
	r.SetBounds(5, 9)
	fmt.Println(r.Next(), r.NeedsSnapshot(), r.Lag())
	r.SkipTo(7)
	fmt.Println(r.Next(), r.NeedsSnapshot(), r.Lag())
	// Output:
	// 0
	// 2
	// 2 true 7
	// 7 false 2
}
