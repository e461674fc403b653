package directory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
)

const reregisterTime = 2500 * time.Millisecond

func row(id string) directory.Endpoint {
	return directory.Endpoint{ID: id, Service: "desk", Address: "10.0.0.1:80", Slots: 6, Born: 1}
}

func ids(d *directory.Directory) []string {
	list := []string{}
	for _, e := range d.All() {
		list = append(list, e.ID)
	}
	return list
}

func TestARemovedRowIsDroppedAtOnce(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(directory.Config{ReregisterTime: reregisterTime})
	g.Expect(d.Put(0, row("a"))).To(Equal(directory.Added))
	g.Expect(d.Put(1, row("a"))).To(Equal(directory.Unchanged))
	g.Expect(d.Remove(time.Second, 2, "a")).To(Equal(directory.Removed))
	g.Expect(ids(d)).To(BeEmpty())
}

// After an outage it may take two seconds until the store lists expired rows again. An
// empty list before that does not mean that the endpoints are gone.
func TestRowsRemovedAfterAnOutageStayForTheReregisterTime(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(directory.Config{ReregisterTime: reregisterTime})
	d.Put(0, row("a"))
	d.Put(1, row("b"))
	d.EndOutage(10 * time.Second)
	g.Expect(d.Remove(10*time.Second, 2, "a")).To(Equal(directory.Lapsed))
	g.Expect(d.Remove(10*time.Second, 3, "b")).To(Equal(directory.Lapsed))
	g.Expect(ids(d)).To(Equal([]string{"a", "b"}))
	g.Expect(d.Put(4, row("a"))).To(Equal(directory.Updated), "registered again")
	g.Expect(d.Expire(10*time.Second + reregisterTime)).To(Equal([]string{"b"}))
	g.Expect(ids(d)).To(Equal([]string{"a"}))
	g.Expect(d.Remove(20*time.Second, 5, "a")).To(Equal(directory.Removed), "the time to register again is over")
}

func TestLapsedRowsAreDroppedWhenThereWasNoOutage(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(directory.Config{ReregisterTime: reregisterTime})
	d.Put(0, row("a"))
	d.Put(1, row("b"))
	d.Put(2, row("c"))
	d.EndOutage(10 * time.Second)
	d.Remove(10*time.Second, 3, "a")
	g.Expect(d.HasLapsed()).To(BeTrue())
	g.Expect(d.CancelOutage()).To(Equal([]string{"a"}))
	g.Expect(d.HasLapsed()).To(BeFalse())
	g.Expect(d.Remove(10100*time.Millisecond, 4, "b")).To(Equal(directory.Removed))
	g.Expect(ids(d)).To(Equal([]string{"c"}))
}

func TestAnOlderRecordChangesNothing(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(directory.Config{ReregisterTime: reregisterTime})
	draining := row("a")
	draining.Draining = true
	d.Put(5, draining)
	g.Expect(d.Put(4, row("a"))).To(Equal(directory.Unchanged))
	g.Expect(d.Remove(time.Second, 3, "a")).To(Equal(directory.Unchanged))
	g.Expect(d.All()[0].Draining).To(BeTrue())
}

func TestANewIncarnationIsAddedAsAnotherEndpoint(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(directory.Config{ReregisterTime: reregisterTime})
	d.Put(0, row("a"))
	again := row("a")
	again.Born = 2
	g.Expect(d.Put(1, again)).To(Equal(directory.Added))
}

func TestAMalformedRecordRemovesItsEndpoint(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(directory.Config{ReregisterTime: reregisterTime})
	g.Expect(d.RemoveMalformed(0, "x")).To(Equal(directory.Unchanged))
	d.Put(1, row("a"))
	d.Put(2, row("b"))
	g.Expect(d.RemoveMalformed(3, "a")).To(Equal(directory.Removed))
	g.Expect(ids(d)).To(Equal([]string{"b"}), "the other rows stay")
}

func TestReplaceRemovesUnlistedRows(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(directory.Config{ReregisterTime: reregisterTime})
	d.Put(0, row("a"))
	d.Put(1, row("b"))
	d.Put(9, row("c")) // newer than the list that was read
	g.Expect(d.Replace(time.Second, 5, map[string]bool{"a": true})).To(Equal([]string{"b"}))
	g.Expect(ids(d)).To(Equal([]string{"a", "c"}))
}

func TestAnEndpointThatSaidItLeavesDrainsUntilItsNextIncarnation(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(directory.Config{ReregisterTime: reregisterTime})
	d.Put(0, row("a"))
	g.Expect(d.MarkLeaving(time.Second, "a", 1)).To(BeTrue())
	g.Expect(d.MarkLeaving(time.Second, "a", 1)).To(BeFalse(), "known already")
	g.Expect(d.All()[0].Draining).To(BeTrue())
	moved := row("a")
	moved.Slots = 7
	d.Put(1, moved)
	g.Expect(d.All()[0].Draining).To(BeTrue(), "the row does not say so, and changed")
	d.Remove(2*time.Second, 2, "a")
	d.Put(3, row("a"))
	g.Expect(d.All()[0].Draining).To(BeTrue(), "the row expired and came back")
	again := row("a")
	again.Born = 2
	d.Put(4, again)
	g.Expect(d.All()[0].Draining).To(BeFalse())
	g.Expect(d.MarkLeaving(3*time.Second, "a", 1)).To(BeFalse(), "an answer of the incarnation before")
	g.Expect(d.All()[0].Draining).To(BeFalse())
}

// A list that another process holds may be older than what is known here.
func TestARemovedEndpointDoesNotReturnWithAnOlderList(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(directory.Config{ReregisterTime: reregisterTime})
	d.Put(3, row("a"))
	d.Put(4, row("b"))
	d.Remove(time.Second, 8, "a")
	d.Advance(9)
	g.Expect(d.Put(3, row("a"))).To(Equal(directory.Unchanged))
	g.Expect(d.Replace(time.Second, 6, map[string]bool{"a": true, "b": true})).To(BeEmpty())
	g.Expect(ids(d)).To(Equal([]string{"b"}))
	g.Expect(d.Put(9, row("a"))).To(Equal(directory.Added), "registered again")
	d.Restart(2)
	g.Expect(d.Put(2, row("c"))).To(Equal(directory.Added), "the source has lost records")
}

// After the source came back from an older copy, records with lower offsets count again, but an
// endpoint that was draining stays so until another incarnation is listed.
func TestOffsetsStartAnewAfterTheSourceCameBackOlder(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(directory.Config{ReregisterTime: time.Second})
	e := directory.Endpoint{ID: "a", Service: "s", Address: "10.0.0.1:80", Born: 7}
	draining := e
	draining.Draining = true
	d.Put(40, e)
	d.Put(50, draining)
	d.Advance(51)
	d.Rewind(0)
	g.Expect(d.Put(20, e)).To(Equal(directory.Updated))
	g.Expect(d.All()[0].Draining).To(BeTrue())
	moved := directory.Endpoint{ID: "a", Service: "s", Address: "10.0.0.2:80", Born: 8}
	g.Expect(d.Put(21, moved)).To(Equal(directory.Added))
	g.Expect(d.All()).To(ConsistOf(moved))
	g.Expect(d.Put(22, directory.Endpoint{ID: "b", Service: "s", Address: "10.0.0.3:80"})).To(Equal(directory.Added))
}
