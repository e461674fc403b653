package front

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWorkTimesCoverTheNewestRequests(t *testing.T) {
	g := NewWithT(t)
	var w *workTimes
	_, known := w.covering(1)
	g.Expect(known).To(BeFalse(), "a route without requests")
	w = &workTimes{}
	for range minWorkTimes - 1 {
		w.add(time.Second)
	}
	_, known = w.covering(1)
	g.Expect(known).To(BeFalse(), "too few")
	for i := range keptWorkTimes {
		w.add(time.Duration(i+1) * time.Millisecond)
	}
	longest, known := w.covering(1)
	g.Expect(known).To(BeTrue())
	g.Expect(longest).To(Equal(keptWorkTimes * time.Millisecond))
	most, _ := w.covering(repeatableWorkShare)
	g.Expect(most).To(And(BeNumerically(">=", 57*time.Millisecond), BeNumerically("<", longest)))
}
