package endpoint

import "time"

// history records for a limited time what became of reservations, grants and
// attempts, so that retransmitted and late messages are recognized and Resolve is
// answered truthfully. An attempt whose record has expired is unknown, never "not started".
type history struct {
	answers      map[ReservationKey]GrantID // answered reservations; empty = not granted
	answerExpiry expiryQueue[ReservationKey]
	grants       map[GrantID]*closedGrant
	grantExpiry  expiryQueue[GrantID]
	runs         map[AttemptKey]*run
	newestRuns   map[string]*run // the last attempt started, by request ID
}

// closedGrant records what became of a grant that is no longer open.
type closedGrant struct {
	attempt AttemptKey
	run     *run // nil = voided without a run
}

func newHistory() history {
	return history{
		answers:    map[ReservationKey]GrantID{},
		grants:     map[GrantID]*closedGrant{},
		runs:       map[AttemptKey]*run{},
		newestRuns: map[string]*run{},
	}
}

// recordAnswer records the answer to a reservation; an empty id means no grant.
func (h *history) recordAnswer(key ReservationKey, id GrantID, expires time.Duration) {
	if _, known := h.answers[key]; !known {
		h.answerExpiry.push(key, expires)
	}
	h.answers[key] = id
}

// recordVoid records that no run will ever start under a grant.
func (h *history) recordVoid(g *grant, expires time.Duration) {
	h.grants[g.id] = &closedGrant{attempt: g.reservation.Attempt}
	h.grantExpiry.push(g.id, expires)
}

// recordStart records a run. The record does not expire before recordEnd sets its expiry.
func (h *history) recordStart(id GrantID, r *run) {
	h.grants[id] = &closedGrant{attempt: r.key, run: r}
	h.runs[r.key] = r
	h.newestRuns[r.key.RequestID] = r
}

// recordEnd lets the record of a run expire.
func (h *history) recordEnd(r *run, expires time.Duration) {
	h.grantExpiry.push(r.grant, expires)
}

// expire removes the records that have expired.
func (h *history) expire(now time.Duration) {
	for _, key := range h.answerExpiry.pop(now) {
		delete(h.answers, key)
	}
	for _, id := range h.grantExpiry.pop(now) {
		closed := h.grants[id]
		delete(h.grants, id)
		if closed.run == nil {
			continue
		}
		delete(h.runs, closed.attempt)
		if h.newestRuns[closed.attempt.RequestID] == closed.run {
			delete(h.newestRuns, closed.attempt.RequestID)
		}
	}
}

// expiryQueue holds items in the order of their expiry.
type expiryQueue[T any] struct {
	items []expiryItem[T]
}

type expiryItem[T any] struct {
	item    T
	expires time.Duration
}

// push adds an item that expires no earlier than the last one added.
func (q *expiryQueue[T]) push(item T, expires time.Duration) {
	q.items = append(q.items, expiryItem[T]{item, expires})
}

// pop removes and returns the items that have expired.
func (q *expiryQueue[T]) pop(now time.Duration) []T {
	var expired []T
	for len(q.items) > 0 && now >= q.items[0].expires {
		expired = append(expired, q.items[0].item)
		q.items = q.items[1:]
	}
	return expired
}
