package request

import (
	"slices"
	"sort"
)

// Item is a request in a Queue.
type Item struct {
	// Key identifies the request within its entry.
	Key uint64
	// Pool names the endpoint whose places the request waits for.
	Pool string
	// Tier is the name of the request's tier and Rank the tier's rank; rank 0 is
	// the most urgent.
	Tier string
	Rank int
	// Account is the client account and Weight its share relative to other accounts.
	Account string
	Weight  float64
	// Cost is the expected work, in any unit that all requests of the pool share.
	Cost float64

	virtualStart float64 // virtual time at which its service starts
	arrival      uint64  // sequence number of its arrival; 0 = not added yet
}

// Queue orders the requests that wait in an entry, by tier and within a tier by
// weighted fair shares of the accounts (start-time fair queueing). In each pool
// only the first requests, as many as the window, are admitted to reserve places.
type Queue struct {
	window      int
	pools       map[string]*poolQueue
	count       int
	lastArrival uint64
}

// poolQueue orders the waiting requests of one pool.
type poolQueue struct {
	items         []Item                 // in the order of service
	nextStart     map[accountKey]float64 // earliest virtual start of the account's next request
	virtualTime   map[int]float64        // by rank
	waitingByRank map[int]int            // number of waiting requests by rank
}

// accountKey identifies a client account within a rank.
type accountKey struct {
	rank    int
	account string
}

// NewQueue returns an empty queue with the same window, in requests, for each pool.
func NewQueue(window int) *Queue {
	return &Queue{window: window, pools: map[string]*poolQueue{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.count
}

// Waiting returns the number of waiting requests of a pool and rank.
func (q *Queue) Waiting(pool string, rank int) int {
	p, ok := q.pools[pool]
	if !ok {
		return 0
	}
	return p.waitingByRank[rank]
}

// Add inserts a request in the order of service. An item that Remove returned
// gets its former position back. admit is the key of the request that entered
// the window, revoke that of the one that left it; 0 = none.
func (q *Queue) Add(item Item) (admit, revoke uint64) {
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
		revoke = p.items[q.window].Key
	}
	return item.Key, revoke
}

// Remove takes a request out, because it was granted a place or ended, and
// returns its item. served is set if it was granted a place, which advances the
// virtual time of its rank. admit is the key of the request that entered the
// window; 0 = none.
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

// PoolLen returns the number of waiting requests of a pool.
func (q *Queue) PoolLen(pool string) int {
	if p, ok := q.pools[pool]; ok {
		return len(p.items)
	}
	return 0
}

// Last returns the request at the end of a pool's order of service, if any waits.
func (q *Queue) Last(pool string) (Item, bool) {
	p, ok := q.pools[pool]
	if !ok {
		return Item{}, false
	}
	return p.items[len(p.items)-1], true
}

// setVirtualStart sets the item's start to the end of the account's previous
// request of the rank, but not before the virtual time of the rank.
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
