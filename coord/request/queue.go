package request

import (
	"slices"
	"sort"
)

// Item is a request in a Queue.
type Item struct {
	// Key numbers the request within its entry.
	Key uint64
	// Pool is the endpoint it waits for.
	Pool string
	// Tier and Rank are its tier's; rank 0 is the most urgent.
	Tier string
	Rank int
	// Account is its client account, and Weight that account's share.
	Account string
	Weight  float64
	// Cost is its expected work, in any unit that all requests of the pool share.
	Cost float64

	virtualStart float64 // virtual time of its start
	arrival      uint64  // of arrival
}

// Queue orders the requests that wait in an entry: by tier, then by weighted
// share between the accounts of a tier (start-time fair queueing). For each
// pool only the first few, the window, may hold reservations.
type Queue struct {
	window      int
	pools       map[string]*poolQueue
	count       int
	lastArrival uint64
}

type poolQueue struct {
	items         []Item // in order of service
	nextStart     map[accountKey]float64
	virtualTime   map[int]float64 // virtual time by rank
	waitingByRank map[int]int     // waiting requests by rank
}

type accountKey struct {
	rank    int
	account string
}

// NewQueue returns an empty queue with a window for each pool.
func NewQueue(window int) *Queue {
	return &Queue{window: window, pools: map[string]*poolQueue{}}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	return q.count
}

// Waiting returns the number of requests of a tier that wait for a pool.
func (q *Queue) Waiting(pool string, rank int) int {
	p, ok := q.pools[pool]
	if !ok {
		return 0
	}
	return p.waitingByRank[rank]
}

// Add puts a request in its place; one that Remove returned comes back to its
// old place. admit is the key of the request that came
// into the window, hold of the one that left it; 0 = none.
func (q *Queue) Add(item Item) (admit, hold uint64) {
	p, ok := q.pools[item.Pool]
	if !ok {
		p = &poolQueue{nextStart: map[accountKey]float64{}, virtualTime: map[int]float64{}, waitingByRank: map[int]int{}}
		q.pools[item.Pool] = p
	}
	if item.arrival == 0 {
		q.lastArrival++
		item.arrival = q.lastArrival
		p.setVirtualStart(&item)
	}
	at := sort.Search(len(p.items), func(i int) bool { return servedBefore(item, p.items[i]) })
	p.items = slices.Insert(p.items, at, item)
	p.waitingByRank[item.Rank]++
	q.count++
	if at >= q.window {
		return 0, 0
	}
	if len(p.items) > q.window {
		hold = p.items[q.window].Key
	}
	return item.Key, hold
}

// Remove takes a request out, because it was granted a place or ended, and
// returns its item. admit is the key of the request that came into the window; 0 = none. served is set
// when it was granted a place, so that its account's share is used.
func (q *Queue) Remove(pool string, key uint64, served bool) (item Item, admit uint64) {
	p, ok := q.pools[pool]
	if !ok {
		return item, 0
	}
	at := slices.IndexFunc(p.items, func(i Item) bool { return i.Key == key })
	if at < 0 {
		return item, 0
	}
	item = p.items[at]
	p.items = slices.Delete(p.items, at, at+1)
	p.waitingByRank[item.Rank]--
	q.count--
	if served {
		p.virtualTime[item.Rank] = max(p.virtualTime[item.Rank], item.virtualStart)
	}
	if len(p.items) == 0 {
		delete(q.pools, pool)
		return item, 0
	}
	if at < q.window && len(p.items) >= q.window {
		return item, p.items[q.window-1].Key
	}
	return item, 0
}

// PoolLen returns the number of requests that wait for a pool.
func (q *Queue) PoolLen(pool string) int {
	if p, ok := q.pools[pool]; ok {
		return len(p.items)
	}
	return 0
}

// Last returns the request of a pool that is served last.
func (q *Queue) Last(pool string) (Item, bool) {
	p, ok := q.pools[pool]
	if !ok {
		return Item{}, false
	}
	return p.items[len(p.items)-1], true
}

// setVirtualStart gives an item its virtual start: after the account's request before
// it, and not before the virtual time of its tier.
func (p *poolQueue) setVirtualStart(item *Item) {
	key := accountKey{rank: item.Rank, account: item.Account}
	item.virtualStart = max(p.virtualTime[item.Rank], p.nextStart[key])
	p.nextStart[key] = item.virtualStart + item.Cost/item.Weight
}

func servedBefore(a, b Item) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.arrival < b.arrival
}
