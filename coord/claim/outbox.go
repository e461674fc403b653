package claim

import (
	"slices"
	"strconv"
	"time"
)

// Limits of one batch. The limit of bytes is on the bodies of answers; the batch ends
// with the answer that reaches it.
const (
	maxBatchRecords = 256 // of each of claims and other records
	maxBatchBytes   = 512 << 10
)

// outbox holds the records that wait to be appended. One append is in flight at a
// time.
type outbox struct {
	records       []Record       // releases and done-records, retried until the log has them
	claims        []*attempt     // attempts whose claims are not sent; a claim is never retried
	oldestClaimAt time.Duration  // when a claim was last added to an empty list
	parts         []SnapshotPart // of the snapshot being written

	batch        uint64 // number of the newest batch
	inFlight     bool
	sentRecords  int        // how many of records are in flight
	sentClaims   []*attempt // attempts whose claims are in flight
	sentSnapshot bool       // the first of parts is in flight

	backoff time.Duration // delay after the last failed append; 0 = it succeeded
	retryAt time.Duration // no append starts earlier
}

// addClaim adds a claim to the next batch.
func (o *outbox) addClaim(now time.Duration, a *attempt) {
	if len(o.claims) == 0 {
		o.oldestClaimAt = now
	}
	o.claims = append(o.claims, a)
}

// removeClaim removes a claim that is not sent.
func (o *outbox) removeClaim(a *attempt) {
	o.claims = slices.DeleteFunc(o.claims, func(q *attempt) bool { return q == a })
}

// addRecord adds a release or done-record to the next batch.
func (o *outbox) addRecord(r Record) { o.records = append(o.records, r) }

// pending reports whether anything waits to be appended or is in flight.
func (o *outbox) pending() bool {
	return len(o.records) > 0 || len(o.claims) > 0 || len(o.parts) > 0 || o.inFlight
}

// backingOff reports whether the last append failed and the next one is not due.
func (o *outbox) backingOff(now time.Duration) bool { return now < o.retryAt }

// flush appends the next batch when one is due.
func (m *Machine) flush(now time.Duration) {
	o := &m.outbox
	m.startSnapshot()
	if o.inFlight || now < o.retryAt || !o.pending() {
		return
	}
	if now < o.oldestClaimAt+m.cfg.BatchDelay && len(o.claims) < maxBatchRecords {
		return
	}
	b := Batch{Writer: m.cfg.Incarnation, SentMS: m.reader.nowMS, HorizonMS: m.cfg.Horizon.Milliseconds()}
	o.fill(&b)
	o.batch++
	o.inFlight = true
	m.emit(Append{Batch: o.batch, Data: EncodeBatch(b)})
}

// fill puts records into a batch: releases and done-records first, so that a release
// comes before a new claim of the same key, then claims. A batch without any of them
// takes a part of a snapshot.
func (o *outbox) fill(b *Batch) {
	bytes := 0
	for o.sentRecords < len(o.records) && o.sentRecords < maxBatchRecords && bytes < maxBatchBytes {
		r := o.records[o.sentRecords]
		if r.Answer != nil {
			bytes += len(r.Answer.Body)
		}
		b.Records = append(b.Records, r)
		o.sentRecords++
	}
	if o.sentRecords < len(o.records) {
		return
	}
	n := min(len(o.claims), maxBatchRecords)
	o.sentClaims = slices.Clone(o.claims[:n])
	o.claims = slices.Delete(o.claims, 0, n)
	for _, a := range o.sentClaims {
		a.phase = phaseSent
		b.Records = append(b.Records, a.claimRecord())
	}
	if len(b.Records) == 0 && len(o.parts) > 0 {
		b.Snapshot = &o.parts[0]
		o.sentSnapshot = true
	}
}

// claimRecord returns the record that claims the attempt's key.
func (a *attempt) claimRecord() Record {
	return Record{Kind: KindClaim, ID: a.claim, Key: &a.key, Digest: &a.digest, CreatedMS: a.createdMS}
}

// finishAppend ends the append in flight. It is confirmed if the log has certainly
// stored it.
func (o *outbox) finishAppend(confirmed bool) {
	if confirmed {
		o.records = slices.Delete(o.records, 0, o.sentRecords)
	}
	if o.sentSnapshot && confirmed {
		o.parts = o.parts[1:]
	}
	if o.sentSnapshot && !confirmed {
		o.parts = nil
	}
	o.inFlight = false
	o.sentRecords = 0
	o.sentClaims = nil
	o.sentSnapshot = false
}

// appended ends the append in flight and its backoff.
func (m *Machine) appended(e Appended) {
	if !m.outbox.inFlight || e.Batch != m.outbox.batch {
		return
	}
	m.outbox.finishAppend(true)
	m.outbox.backoff = 0
	m.outbox.retryAt = 0
}

// appendFailed delays the next append. It refuses the calls whose claims the log has
// certainly not stored; if it may have stored them, they go on waiting to be read
// back.
func (m *Machine) appendFailed(now time.Duration, e AppendFailed) {
	o := &m.outbox
	if !o.inFlight || e.Batch != o.batch {
		return
	}
	claims := o.sentClaims
	o.finishAppend(false)
	o.backoff = min(max(2*o.backoff, m.cfg.Backoff), m.cfg.MaxBackoff)
	o.retryAt = now + o.backoff
	if e.Unknown {
		return
	}
	for _, a := range claims {
		if m.byCall[a.call] == a {
			a.phase = phaseQueued // the claim is not in the log, so there is nothing to release
			m.abandon(a, m.unavailable(now, ReasonLogUnavailable))
		}
	}
}

// removeRecorded removes the ended attempts whose answer the ledger holds, or whose
// claim is no longer live.
func (m *Machine) removeRecorded() {
	if !m.reader.complete {
		return
	}
	for _, a := range m.byClaim {
		if a.phase != phaseEnded {
			continue
		}
		c := m.reader.ledger.lookup(a.key, m.reader.nowMS)
		if c == nil || c.ID != a.claim || c.Answer != nil {
			m.remove(a)
		}
	}
}

// fallbackIntervals is the number of snapshot intervals without a snapshot after
// which any claimant writes one.
const fallbackIntervals = 3

// startSnapshot queues the parts of a snapshot when one is due. A ledger with blocked
// keys writes none, since it does not know the live claims of these keys.
func (m *Machine) startSnapshot() {
	if !m.snapshotDue() {
		return
	}
	m.reader.ledger.sweep()
	if len(m.reader.ledger.blocked) > 0 {
		return
	}
	m.reader.snapshotMS = m.reader.nowMS
	id := m.cfg.Incarnation + "/" + strconv.FormatInt(m.reader.next, 10)
	m.outbox.parts = m.reader.snapshotParts(id)
}

// snapshotDue reports whether this process should write a snapshot now.
func (m *Machine) snapshotDue() bool {
	if !m.Ready() || len(m.outbox.parts) > 0 || m.reader.next == 0 {
		return false
	}
	interval := m.cfg.SnapshotInterval.Milliseconds()
	if !m.snapshotWriter {
		interval *= fallbackIntervals
	}
	return m.reader.nowMS >= m.reader.snapshotMS+interval
}
