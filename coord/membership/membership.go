// Package membership holds a process's view of the platform's instance list, and orders
// instances by rendezvous hashing. The list lags: two processes may hold different views
// at one time, and no code may rely on their being equal.
package membership

import (
	"hash/fnv"
	"slices"
	"sort"
)

// Role is what an instance runs.
type Role string

// The two roles of the system.
const (
	// RoleEntry is a process that holds the connections of callers.
	RoleEntry Role = "entry"
	// RoleAgent is a process that runs beside one endpoint.
	RoleAgent Role = "agent"
)

// State is the state that the platform lists for an instance.
type State string

// States of an instance in the list.
const (
	// StateLive marks an instance in service.
	StateLive State = "live"
	// StateLeaving marks an instance that the platform is about to remove.
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	// ID is unique among instances and is never reused.
	ID string `json:"id"`
	// Role is what runs on the instance.
	Role Role `json:"role"`
	// Pool names the model or service behind an agent; empty for an entry.
	Pool string `json:"pool,omitempty"`
	// Address is HOST:PORT of the process's internal listener; HOST is an IP address.
	Address string `json:"address"`
	// FailureDomain names the failure domain of the instance.
	FailureDomain string `json:"failure_domain"`
	// State is the state that the platform lists.
	State State `json:"state"`
}

// View is an immutable copy of the list, sorted by ID.
type View struct {
	instances []Instance
}

// NewView returns a view over a copy of the given instances.
func NewView(instances []Instance) View {
	sorted := slices.Clone(instances)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	return View{instances: sorted}
}

// Same reports whether two views are copies of one view. It compares no rows: equal views
// from separate calls of NewView, and empty views, are not the same.
func (v View) Same(other View) bool {
	if len(v.instances) == 0 || len(v.instances) != len(other.instances) {
		return false
	}
	return &v.instances[0] == &other.instances[0]
}

// All returns every instance, leaving ones included. The slice must not be changed.
func (v View) All() []Instance {
	return v.instances
}

// Entries returns the entries, leaving ones included.
func (v View) Entries() []Instance {
	return v.filter(func(i Instance) bool { return i.Role == RoleEntry })
}

// Agents returns the agents of a pool, leaving ones included.
func (v View) Agents(pool string) []Instance {
	return v.filter(func(i Instance) bool { return i.Role == RoleAgent && i.Pool == pool })
}

// ByAddress finds the instance with the given address.
func (v View) ByAddress(address string) (Instance, bool) {
	for _, i := range v.instances {
		if i.Address == address {
			return i, true
		}
	}
	return Instance{}, false
}

// filter returns the instances for which keep is true.
func (v View) filter(keep func(Instance) bool) []Instance {
	var kept []Instance
	for _, i := range v.instances {
		if keep(i) {
			kept = append(kept, i)
		}
	}
	return kept
}

// Rendezvous orders instances by highest-random-weight hashing for a key. All processes
// with the same instances compute the same order, and removing an instance changes the
// first one only for the keys whose first it was.
func Rendezvous(key string, instances []Instance) []Instance {
	ordered := slices.Clone(instances)
	weights := make(map[string]uint64, len(ordered))
	for _, i := range ordered {
		weights[i.ID] = weight(key, i.ID)
	}
	sort.SliceStable(ordered, func(i, j int) bool {
		return weights[ordered[i].ID] > weights[ordered[j].ID]
	})
	return ordered
}

// weight hashes a key and an instance ID, separated by a zero byte.
func weight(key, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64; FNV alone distributes short keys poorly.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
