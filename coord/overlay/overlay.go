// Package overlay decides, from a process's view of the instance list alone, which
// processes read the table's log stream and from which parents every other process pulls
// it. The number of children of a process is bounded, and the depth grows with the
// logarithm of the number of processes. Differences between the views of processes cost
// time but never correctness: any process serves any other, and one whose parents fail
// reads the log.
package overlay

import "primrosespoke.dev/coord/membership"

const (
	// Readers is how many entries read the log themselves.
	Readers = 3
	// Fanout is how many processes have the same first parent.
	Fanout = 4
	// Parents is how many parents a process pulls from.
	Parents = 2

	// orderKey is the key of the rendezvous hash that orders the instances.
	orderKey = "table-overlay"
)

// Topology is the shape of an overlay: the number of its readers, and the number of
// processes that have the same first parent.
type Topology struct {
	Readers, Fanout int
}

// TableTopology is the topology of the table's overlay.
var TableTopology = Topology{Readers: Readers, Fanout: Fanout}

// Position is where a process stands in the overlay.
type Position struct {
	// Reader means that the process reads the log itself.
	Reader bool
	// Parents are the addresses to pull from, at most Parents; empty for a reader.
	Parents []string
	// Depth is the number of steps to a reader along the first parents.
	Depth int
}

// Locate returns the position of the process at an address in the table's overlay. A
// process that is alone, or whose view is empty, is a reader. One that the view does not
// hold yet, or holds as leaving, comes after all others.
func Locate(view membership.View, self string) Position {
	return TableTopology.Locate(view, self)
}

// Locate is the function Locate for an overlay of this topology.
func (t Topology) Locate(view membership.View, self string) Position {
	order := ordered(view)
	index := len(order)
	for i, instance := range order {
		if instance.Address == self {
			index = i
		}
	}
	if index < t.Readers {
		return Position{Reader: true}
	}
	position := Position{Depth: t.depth(index)}
	for _, parent := range t.parents(order, index) {
		position.Parents = append(position.Parents, order[parent].Address)
	}
	return position
}

// ordered returns the instances that are not leaving, entries before agents. Within each
// role the order is the same for all processes with the same view.
func ordered(view membership.View) []membership.Instance {
	var entries, agents []membership.Instance
	for _, instance := range view.All() {
		switch {
		case instance.State == membership.StateLeaving:
		case instance.Role == membership.RoleEntry:
			entries = append(entries, instance)
		default:
			agents = append(agents, instance)
		}
	}
	order := spreadDomains(membership.Rendezvous(orderKey, entries))
	return append(order, membership.Rendezvous(orderKey, agents)...)
}

// spreadDomains puts one entry of each failure domain first, so that the loss of one
// domain does not remove all readers.
func spreadDomains(entries []membership.Instance) []membership.Instance {
	var first, rest []membership.Instance
	taken := map[string]bool{}
	for _, entry := range entries {
		if taken[entry.FailureDomain] {
			rest = append(rest, entry)
			continue
		}
		taken[entry.FailureDomain] = true
		first = append(first, entry)
	}
	return append(first, rest...)
}

// parents returns the indexes of up to two parents in the order, in different failure
// domains where an instance near the first parent allows it. Since parents always come
// earlier in the order, every path along them ends at a reader.
func (t Topology) parents(order []membership.Instance, index int) []int {
	first := (index - t.Readers) / t.Fanout
	second := -1
	for _, step := range []int{1, -1, 2, -2} {
		candidate := first + step
		if candidate < 0 || candidate >= index {
			continue
		}
		if order[candidate].FailureDomain != order[first].FailureDomain {
			return []int{first, candidate}
		}
		if second < 0 {
			second = candidate
		}
	}
	if second < 0 {
		return []int{first}
	}
	return []int{first, second}
}

// depth returns the number of steps to a reader along the first parents, from the
// instance at an index in the order.
func (t Topology) depth(index int) int {
	steps := 0
	for index >= t.Readers {
		index = (index - t.Readers) / t.Fanout
		steps++
	}
	return steps
}
