package claim

import (
	"strings"

	"github.com/pkg/errors"
)

// LogRecord is one record as read from the log.
type LogRecord struct {
	Offset int64
	// TimeMS is the log's time of the record. It does not decrease from one offset to
	// the next.
	TimeMS int64
	Data   []byte
}

// Page is the log's answer to one read.
type Page struct {
	// From is the offset that was asked for.
	From int64
	// Earliest is the oldest offset that the log still holds.
	Earliest int64
	// Next is the offset to read from next.
	Next int64
	// NowMS is the log's time of the answer.
	NowMS   int64
	Records []LogRecord
	// AtHead is set when the log held no further records.
	AtHead bool
}

// reader applies the stream's records in order to a ledger and knows whether that
// ledger is complete.
type reader struct {
	horizonMS     int64
	ledger        *ledger
	next          int64
	nowMS         int64 // newest log time seen
	complete      bool  // the ledger includes every record below next that can still matter
	caughtUp      bool  // the end of the log was reached since the ledger became complete
	firstPageRead bool  // next follows from a page that was read

	// While not complete: the first offset read after the gap, the log time at which
	// the gap was found, and the records read since. In parts are the snapshots of
	// which parts are missing.
	gapEnd     int64
	gapFoundMS int64
	buffered   []LogRecord
	parts      map[string]*partialSnapshot

	snapshotMS int64 // log time of the newest whole snapshot; 0 = none seen
	rejected   int64 // records and snapshots that could not be decoded
}

// partialSnapshot collects the parts of a snapshot until none is missing.
type partialSnapshot struct {
	covered int64 // offset after the last record that the snapshot includes
	digest  string
	parts   [][]byte
	missing int
}

func newReader(horizonMS int64) *reader {
	return &reader{horizonMS: horizonMS, ledger: newLedger(), parts: map[string]*partialSnapshot{}}
}

// ready reports whether the ledger is complete and has reached the end of the log.
func (r *reader) ready() bool { return r.complete && r.caughtUp }

// read applies a page. It returns the verdicts on the claims in it, and whether
// records were missed, so that the ledger is no longer complete.
func (r *reader) read(p Page) (verdicts []verdict, incomplete bool) {
	if p.From != r.next {
		return nil, false // not the answer to the newest read
	}
	r.nowMS = max(r.nowMS, p.NowMS)
	incomplete = r.checkForGap(p)
	for _, rec := range p.Records {
		if rec.Offset < r.next {
			continue
		}
		r.next = rec.Offset + 1
		r.nowMS = max(r.nowMS, rec.TimeMS)
		verdicts = append(verdicts, r.applyOrBuffer(rec)...)
	}
	r.completeByAge()
	r.caughtUp = r.complete && (r.caughtUp || p.AtHead)
	if r.caughtUp && r.snapshotMS == 0 {
		r.snapshotMS = r.nowMS
	}
	return verdicts, incomplete
}

// checkForGap reports whether records may have been missed between the previous page
// and this one, or before the first page. The reader then starts again.
func (r *reader) checkForGap(p Page) (incomplete bool) {
	first := max(p.Earliest, p.From)
	if len(p.Records) > 0 {
		first = p.Records[0].Offset
	}
	if !r.firstPageRead && p.Earliest == 0 && first == 0 {
		r.firstPageRead = true
		r.complete = true
		return false
	}
	gap := p.Earliest > p.From || p.Next < p.From || first > p.From
	if r.firstPageRead && !gap {
		return false
	}
	r.firstPageRead = true
	r.restartAfterGap(p, first)
	return true
}

// restartAfterGap marks the ledger as incomplete and goes on reading after the gap.
func (r *reader) restartAfterGap(p Page, first int64) {
	r.complete = false
	r.caughtUp = false
	r.gapEnd = first
	r.next = first
	if p.Next < p.From {
		r.gapEnd = p.Next
		r.next = p.Next
	}
	r.gapFoundMS = r.nowMS
	r.buffered = nil
	clear(r.parts)
}

// applyOrBuffer applies one record, or buffers it while the ledger is not complete.
func (r *reader) applyOrBuffer(rec LogRecord) []verdict {
	b, err := DecodeBatch(rec.Data)
	if err != nil {
		r.rejected++
		return nil
	}
	if !r.complete {
		r.buffered = append(r.buffered, rec)
		r.assemble(b.Snapshot, rec.TimeMS)
		return nil
	}
	r.assemble(b.Snapshot, rec.TimeMS)
	return r.ledger.apply(b, rec.TimeMS)
}

// assemble adds a part of a snapshot. Once the snapshot is whole it restores an
// incomplete ledger from it, if the snapshot covers all records that were missed.
func (r *reader) assemble(p *SnapshotPart, timeMS int64) {
	if p == nil {
		return
	}
	s := r.parts[p.ID]
	if s == nil {
		s = &partialSnapshot{covered: p.Covered, digest: p.Digest, parts: make([][]byte, p.Parts), missing: p.Parts}
		r.parts[p.ID] = s
	}
	if p.Part >= len(s.parts) || s.parts[p.Part] != nil || p.Covered != s.covered || p.Digest != s.digest {
		return
	}
	s.parts[p.Part] = p.Data
	s.missing--
	if s.missing > 0 {
		return
	}
	delete(r.parts, p.ID)
	if err := r.restore(s); err != nil {
		r.rejected++
		return
	}
	r.snapshotMS = timeMS
}

// restore checks the digest of a whole snapshot and replaces an incomplete ledger by
// it, if the snapshot covers all records that were missed.
func (r *reader) restore(s *partialSnapshot) error {
	var joined []byte
	for _, part := range s.parts {
		joined = append(joined, part...)
	}
	if snapshotDigest(joined) != s.digest {
		return errors.New("claim snapshot: data does not match its digest")
	}
	if r.complete || s.covered < r.gapEnd {
		return nil
	}
	l, err := decodeLedger(joined)
	if err != nil {
		return err
	}
	r.applyBuffered(l, s.covered)
	r.replaceLedger(l)
	return nil
}

// completeByAge starts an empty ledger without a snapshot once every claim that may
// have been missed has expired. The claims read since the gap can't be decided, since
// missed claims may have been live at the time. Their keys stay blocked until these
// claims have expired too.
func (r *reader) completeByAge() {
	if !r.firstPageRead || r.complete || r.nowMS <= r.gapFoundMS+r.horizonMS+Margin(r.horizonMS) {
		return
	}
	l := newLedger()
	for _, rec := range r.buffered {
		if b, err := DecodeBatch(rec.Data); err == nil {
			l.blockKeys(b, rec.TimeMS)
		}
	}
	r.replaceLedger(l)
}

// applyBuffered applies the buffered records from an offset on to a ledger.
func (r *reader) applyBuffered(l *ledger, from int64) {
	for _, rec := range r.buffered {
		if rec.Offset < from {
			continue
		}
		if b, err := DecodeBatch(rec.Data); err == nil {
			l.apply(b, rec.TimeMS)
		}
	}
}

// replaceLedger takes a complete ledger into use.
func (r *reader) replaceLedger(l *ledger) {
	r.ledger = l
	r.complete = true
	r.buffered = nil
}

// snapshotPartBytes is the largest size of the data in one part of a snapshot, in bytes.
const snapshotPartBytes = 192 << 10

// snapshotParts encodes the ledger as the parts of a snapshot.
func (r *reader) snapshotParts(id string) []SnapshotPart {
	data := r.ledger.encode()
	parts := (len(data) + snapshotPartBytes - 1) / snapshotPartBytes
	digest := snapshotDigest(data)
	made := make([]SnapshotPart, 0, parts)
	for i := range parts {
		piece := data[i*snapshotPartBytes : min(len(data), (i+1)*snapshotPartBytes)]
		made = append(made, SnapshotPart{ID: id, Covered: r.next, Part: i, Parts: parts, Digest: digest, Data: piece})
	}
	return made
}

// writtenBy reports whether a claim ID belongs to a writer.
func writtenBy(id, writer string) bool { return strings.HasPrefix(id, writer+"/") }
