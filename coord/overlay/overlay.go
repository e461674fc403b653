// Package overlay decides, from a process's view of the instance list alone, who
// reads the table's log stream and from whom every other process pulls it. The
// degree is bounded and the depth grows with the logarithm of the number of
// processes. Views that differ cost time, never correctness: any process
// serves any other, and one whose parents fail reads the log.
package overlay

import "primrosespoke.dev/coord/membership"

const (
	// Readers is how many entries read the log themselves.
	Readers = 3
	// Fanout is how many processes name one process as their first parent.
	Fanout = 4
	// Parents is how many parents a process pulls from.
	Parents = 2

	orderKey = "table-overlay"
)

// Topology is how many processes read and how many name one process as their first parent.
type Topology struct {
	Readers, Fanout int
}

// TableTopology is that of the table's overlay.
var TableTopology = Topology{Readers: Readers, Fanout: Fanout}

// Position is a process's place in the overlay.
type Position struct {
	// Reader says that the process reads the log itself.
	Reader bool
	// Parents are the addresses to pull from, at most Parents; empty for a reader.
	Parents []string
	// Depth is the number of steps to a reader along the first parents.
	Depth int
}

// Locate returns the place of the process at an address. A process that is alone,
// or whose view is empty, is a reader. One that the list does not show yet, or
// shows as leaving, stands behind all others.
func Locate(view membership.View, self string) Position {
	return TableTopology.Locate(view, self)
}

// Locate returns the place of the process at an address, as the function of that name does.
func (s Topology) Locate(view membership.View, self string) Position {
	order := ordered(view)
	position := len(order)
	for i, instance := range order {
		if instance.Address == self {
			position = i
		}
	}
	if position < s.Readers {
		return Position{Reader: true}
	}
	place := Position{Depth: s.depth(position)}
	for _, parent := range s.parents(order, position) {
		place.Parents = append(place.Parents, order[parent].Address)
	}
	return place
}

// ordered returns the live instances, entries first, each role in an order that
// all processes with the same view share.
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
	order := spread(membership.Rendezvous(orderKey, entries))
	return append(order, membership.Rendezvous(orderKey, agents)...)
}

// spread puts entries of different failure domains first, so that the loss of one
// domain does not take all readers.
func spread(entries []membership.Instance) []membership.Instance {
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

// parents returns two positions below the given one, in different failure domains
// if one near the first can be had; following them always ends at a reader.
func (s Topology) parents(order []membership.Instance, position int) []int {
	first := (position - s.Readers) / s.Fanout
	second := -1
	for _, step := range []int{1, -1, 2, -2} {
		candidate := first + step
		if candidate < 0 || candidate >= position {
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

func (s Topology) depth(position int) int {
	steps := 0
	for position >= s.Readers {
		position = (position - s.Readers) / s.Fanout
		steps++
	}
	return steps
}
