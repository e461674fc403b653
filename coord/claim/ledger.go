package claim

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// marginDivisor is what Margin divides the horizon by.
const marginDivisor = 8

// Margin returns how far a stated creation time may be off from the log's time, for
// a given horizon; both are in milliseconds.
func Margin(horizonMS int64) int64 { return horizonMS / marginDivisor }

// LiveClaim is the claim that holds a key until it expires or is released.
type LiveClaim struct {
	ID     string `json:"id"`
	Owner  string `json:"owner"`
	Key    Key    `json:"key"`
	Digest Digest `json:"digest"`
	// ExpiresMS is the log time after which the claim no longer holds the key.
	ExpiresMS int64 `json:"expires_ms"`
	// Answer is set when the run under the claim has ended.
	Answer *Answer `json:"answer,omitempty"`
}

// verdict is the decision on one claim that follows from the log.
type verdict struct {
	id  string
	won bool
	// winner is the live claim of the key; nil when the claim came too late or its key
	// is blocked.
	winner *LiveClaim
}

// ledger is the state of all claims after a prefix of the stream.
type ledger struct {
	clockMS int64              // newest time of a record
	live    map[Key]*LiveClaim // by key
	byID    map[string]Key     // keys of the live claims, by claim ID
	// closed holds the IDs of claims that lost, were released or can't be decided,
	// and the log time until which each is kept.
	closed map[string]int64
	// blocked holds the keys that may have a live claim which this ledger can't know,
	// and the log time until which that is possible; see blockKeys.
	blocked           map[Key]int64
	appliedSinceSweep int // records since the last sweep
}

// sweepRecords is the number of records applied between two sweeps of expired claims.
const sweepRecords = 4096

func newLedger() *ledger {
	return &ledger{
		live:    map[Key]*LiveClaim{},
		byID:    map[string]Key{},
		closed:  map[string]int64{},
		blocked: map[Key]int64{},
	}
}

// lookup returns the claim of a key that is live at a log time, or nil.
func (l *ledger) lookup(key Key, nowMS int64) *LiveClaim {
	c := l.live[key]
	if c == nil || c.ExpiresMS < nowMS {
		return nil
	}
	return c
}

// isBlocked reports whether a claim that this ledger can't know may be live for a key.
func (l *ledger) isBlocked(key Key, nowMS int64) bool {
	until, ok := l.blocked[key]
	return ok && until >= nowMS
}

// blockKeys blocks the keys claimed in a batch. The verdicts on these claims can't be
// known, because claims that were live at the time may have been missed. A key is
// blocked until its last such claim has expired; a later claim that comes while the
// key is blocked prolongs the block.
func (l *ledger) blockKeys(b Batch, timeMS int64) {
	l.clockMS = max(l.clockMS, timeMS)
	for _, r := range b.Records {
		l.closed[r.ID] = l.clockMS + b.HorizonMS
		if r.Kind == KindClaim {
			l.blocked[*r.Key] = l.clockMS + b.HorizonMS
		}
	}
}

// apply applies the records of one batch and returns the verdicts on its claims.
func (l *ledger) apply(b Batch, timeMS int64) []verdict {
	l.clockMS = max(l.clockMS, timeMS)
	var verdicts []verdict
	for _, r := range b.Records {
		switch r.Kind {
		case KindClaim:
			verdicts = l.applyClaim(verdicts, b, r)
		case KindRelease:
			l.applyRelease(b, r)
		case KindDone:
			l.applyDone(b, r)
		}
	}
	l.appliedSinceSweep += len(b.Records)
	if l.appliedSinceSweep > sweepRecords {
		l.sweep()
	}
	return verdicts
}

// applyClaim decides a claim: the first claim of a free key wins.
func (l *ledger) applyClaim(verdicts []verdict, b Batch, r Record) []verdict {
	if l.isDecided(r.ID) {
		return verdicts // a duplicate record: the first one decided
	}
	if l.isTooLate(b, r) {
		return append(verdicts, verdict{id: r.ID})
	}
	if l.isBlocked(*r.Key, l.clockMS) {
		l.closed[r.ID] = l.clockMS + b.HorizonMS
		l.blocked[*r.Key] = l.clockMS + b.HorizonMS
		return append(verdicts, verdict{id: r.ID})
	}
	if winner := l.lookup(*r.Key, l.clockMS); winner != nil {
		l.closed[r.ID] = l.clockMS + b.HorizonMS
		return append(verdicts, verdict{id: r.ID, winner: winner})
	}
	l.remove(*r.Key)
	c := &LiveClaim{ID: r.ID, Owner: b.Writer, Key: *r.Key, Digest: *r.Digest, ExpiresMS: l.clockMS + b.HorizonMS}
	l.live[c.Key] = c
	l.byID[c.ID] = c.Key
	return append(verdicts, verdict{id: r.ID, won: true, winner: c})
}

// isDecided reports whether an earlier record decided or released a claim.
func (l *ledger) isDecided(id string) bool {
	if _, ok := l.byID[id]; ok {
		return true
	}
	_, ok := l.closed[id]
	return ok
}

// isTooLate reports whether a claim reached the log too late to be decided safely: an
// earlier copy of it, or an earlier claim of its key, may already have been removed.
func (l *ledger) isTooLate(b Batch, r Record) bool {
	if l.clockMS-b.SentMS > b.HorizonMS {
		return true
	}
	return r.CreatedMS != 0 && !createdInTime(r.CreatedMS, l.clockMS, b.HorizonMS)
}

// createdInTime reports whether a key with a stated creation time may be claimed.
// Any two claims of a key that pass this test are less than a horizon apart, so the
// first is still live when the second is decided.
func createdInTime(createdMS, nowMS, horizonMS int64) bool {
	margin := Margin(horizonMS)
	return createdMS <= nowMS+margin && nowMS <= createdMS+horizonMS-margin
}

// applyRelease ends a claim that has no answer yet. It also closes a claim that has
// not been read, so that a late copy of the claim does not win.
func (l *ledger) applyRelease(b Batch, r Record) {
	if c := l.ownedClaim(b, r); c != nil && c.Answer == nil {
		l.remove(c.Key)
	}
	if _, live := l.byID[r.ID]; !live {
		l.closed[r.ID] = l.clockMS + b.HorizonMS
	}
}

// applyDone sets the answer of a live claim; the first answer stays.
func (l *ledger) applyDone(b Batch, r Record) {
	if c := l.ownedClaim(b, r); c != nil && c.Answer == nil {
		c.Answer = r.Answer
	}
}

// ownedClaim returns the live claim that a record names if the record's writer owns
// it, or nil.
func (l *ledger) ownedClaim(b Batch, r Record) *LiveClaim {
	key, ok := l.byID[r.ID]
	if !ok || l.live[key].Owner != b.Writer {
		return nil
	}
	return l.live[key]
}

// remove makes a key free.
func (l *ledger) remove(key Key) {
	if c := l.live[key]; c != nil {
		delete(l.byID, c.ID)
		delete(l.live, key)
	}
}

// sweep removes everything that has expired.
func (l *ledger) sweep() {
	l.appliedSinceSweep = 0
	for key, c := range l.live {
		if c.ExpiresMS < l.clockMS {
			l.remove(key)
		}
	}
	maps.DeleteFunc(l.closed, func(_ string, until int64) bool { return until < l.clockMS })
	maps.DeleteFunc(l.blocked, func(_ Key, until int64) bool { return until < l.clockMS })
}

// snapshot is the encoded form of a ledger.
type snapshot struct {
	ClockMS int64            `json:"clock_ms"`
	Live    []*LiveClaim     `json:"live"`
	Closed  map[string]int64 `json:"dead"`
}

// encode returns the ledger as the data of a snapshot. Blocked keys have no place in
// it; see Machine.startSnapshot.
func (l *ledger) encode() []byte {
	l.sweep()
	s := snapshot{ClockMS: l.clockMS, Closed: l.closed}
	for _, c := range l.live {
		s.Live = append(s.Live, c)
	}
	slices.SortFunc(s.Live, func(a, b *LiveClaim) int { return slices.Compare(a.Key[:], b.Key[:]) })
	data, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "encode claim snapshot"))
	}
	return data
}

// decodeLedger returns the ledger that a snapshot's data holds.
func decodeLedger(data []byte) (*ledger, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "decode claim snapshot")
	}
	l := newLedger()
	l.clockMS = s.ClockMS
	for _, c := range s.Live {
		if c == nil || c.ID == "" || l.live[c.Key] != nil {
			return nil, errors.New("decode claim snapshot: claim without ID, or second claim of a key")
		}
		l.live[c.Key] = c
		l.byID[c.ID] = c.Key
	}
	maps.Copy(l.closed, s.Closed)
	return l, nil
}
