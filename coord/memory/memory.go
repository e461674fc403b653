// Package memory decides whether a request fits into the memory of a model engine.
//
// The load that it answers: an engine crashes, with all its runs, if the requests that it holds exceed its
// memory. Slots alone do not keep it from that where many large prompts come at once, and each entry
// learns of the others' requests only from their reports, which are 20 to 350 ms old.
//
// A request needs memory for its prompt and for all that may be generated. It fits where that much is
// free with headroom for what all other entries may send there before they hear of each other. A large
// request that fits nowhere like that gets a reservation at one engine. The others hear of it by reports and
// leave that memory free; once they all have, the request needs no headroom. So it is neither starved by
// smaller ones, nor do these wait for it at other engines.
//
// All amounts are tokens, for prompts and answers alike. The package has no I/O, clock or goroutine.
package memory

import (
	"hash/fnv"
	"io"
	"math"
)

// MaxNeed bounds the need of a request, so that sums can't overflow.
const MaxNeed = 1 << 24

// Need returns the memory that a request may need. maxOutput is the most that may be generated; 0 = unknown,
// then the expected output counts.
func Need(prompt, maxOutput, expectedOutput int) int {
	if maxOutput <= 0 {
		maxOutput = expectedOutput
	}
	return clamp(prompt) + clamp(maxOutput)
}

func clamp(tokens int) int {
	return min(max(tokens, 0), MaxNeed)
}

const (
	// usualNeed is assumed for requests before any was seen.
	usualNeed = 4096.0
	// needGain is the weight of a new request in the mean of needs and their variance.
	needGain = 0.1
)

// Needs are the needs of recent requests. The zero value has seen none.
type Needs struct{ mean, variance float64 }

// Observe records the need of a request.
func (n *Needs) Observe(need int) {
	if n.mean == 0 {
		n.mean = usualNeed
	}
	off := float64(need) - n.mean
	n.mean += needGain * off
	n.variance = (1 - needGain) * (n.variance + needGain*off*off)
}

// Usual returns what is assumed of a request of which nothing is known: the mean and a standard deviation.
// The mean alone is too little for an engine that happens to hold several large ones.
func (n *Needs) Usual() int {
	if n.mean == 0 {
		return usualNeed
	}
	return int(math.Ceil(n.mean + math.Sqrt(n.variance)))
}

// Estimate returns the memory that an entry's requests are assumed to hold which reports no memory, but how
// many they are and the tokens of prompts that are still read.
func Estimate(running, promptTokens, usual int) int {
	return max(running*usual, promptTokens)
}

// Room is the memory of one engine during a plan.
type Room struct {
	Total int
	// Held is what the requests need that are known to be there.
	Held int
	// Reserved is what entries have reserved and not used yet. OthersFirst is the part of that which is
	// reserved by those of the others whose reservations precede this entry's.
	Reserved, OthersFirst int
	// Unconfirmed is the part of Held that this entry sent there so recently that others may not know it.
	Unconfirmed int
	// Others is how many other entries may send requests there, and Usual the need of a usual one.
	Others, Usual int
}

const (
	// maxOthers bounds the entries for which headroom is kept: not more than these send requests to the
	// same engine before they hear of each other.
	maxOthers = 40
	// maxAlike is how many other entries are assumed to send a request that needs as much.
	maxAlike = 2
)

// Free returns what is neither held nor reserved.
func (r Room) Free() int {
	return r.Total - r.Held - r.Reserved
}

// Fits reports whether a request fits beside what other entries send before they hear of each other. own is
// the part of the reserved memory that does not stand against it.
//
// It fits if each of the others may send a usual request and some of them one like it; or within this entry's
// even part of the free memory, which holds whatever the others send as they keep to theirs.
func (r Room) Fits(need, own int) bool {
	others := min(r.Others, maxOthers)
	free := r.Free() + own
	if (1+min(others, maxAlike))*need+others*r.Usual <= free {
		return true
	}
	return (r.Unconfirmed+need)*(1+others) <= free+r.Unconfirmed
}

// FitsReserved reports whether a request fits that all others know to have a reservation.
func (r Room) FitsReserved(need int) bool {
	return need <= r.Total-r.Held-r.OthersFirst
}

// Precedes reports whether, at an engine, an entry's reservation goes before that of another one. Each
// entry goes first at some engines.
func Precedes(entry, other, engine string) bool {
	a, b := hash(entry, engine), hash(other, engine)
	return a < b || a == b && entry < other
}

func hash(entry, engine string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, engine+"\x00"+entry) // writing to a hash never fails
	x := h.Sum64()
	// FNV hashes of names that differ at the end alone are in the same order for most engines.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
