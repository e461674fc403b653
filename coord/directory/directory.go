// Package directory holds the endpoints that the platform's list names.
//
// The list lags and is written by the endpoints themselves, so a record may be malformed,
// an address may pass to another endpoint, and all records may expire while the list is
// unreachable. An endpoint whose record was removed is dropped at once, unless the record
// may have expired in an outage: then the endpoint stays usable for the time within which
// live endpoints register again.
package directory

import (
	"sort"
	"time"
)

// Endpoint is one row of the list.
type Endpoint struct {
	ID      string
	Service string
	// Address is an IP address and a port.
	Address       string
	FailureDomain string
	// Slots is how many requests the endpoint runs at once; 0 = unknown.
	Slots int
	// Version is that of the endpoint's software. Endpoints of several versions serve side by
	// side, and one can't go on with another's stream.
	Version string
	// Draining endpoints get no new requests.
	Draining bool
	// Born identifies the incarnation of the endpoint that has the ID; 0 = unknown.
	Born int64
}

// Change is the effect of a record on the directory.
type Change int

// Effects of a record.
const (
	// Unchanged means that the record changed no value, or is older than the known one.
	Unchanged Change = iota
	// Added means that an endpoint is new, or is another incarnation of a known one.
	Added
	// Updated means that a known endpoint changed a value, or is listed again after it lapsed.
	Updated
	// Removed means that an endpoint was dropped.
	Removed
	// Lapsed means that a record is gone that may have expired in an outage. Its endpoint
	// stays usable for a time.
	Lapsed
)

// Config holds the settings of a Directory.
type Config struct {
	// ReregisterTime is how long live endpoints may take to register again after the end
	// of an outage.
	ReregisterTime time.Duration
}

// row is an endpoint and the offset of its newest record.
type row struct {
	endpoint  Endpoint
	offset    int64
	expiresAt time.Duration // when a lapsed row is dropped; 0 = not lapsed
}

// leavingRetention is how long it is remembered that an endpoint said that it leaves. It far
// exceeds the time that endpoints go on serving after that.
const leavingRetention = 10 * time.Minute

// leavingMark records that an incarnation of an endpoint said that it leaves.
type leavingMark struct {
	born int64
	at   time.Duration
}

// Directory holds the endpoints known to one process. It is used by one goroutine.
type Directory struct {
	cfg       Config
	rows      map[string]*row
	leaving   map[string]leavingMark // by ID; also of endpoints that are not listed now
	appliedTo int64                  // offset up to which all records were applied
	outageEnd time.Duration          // end of the last outage, if hadOutage
	hadOutage bool
}

// New returns an empty directory.
func New(cfg Config) *Directory {
	return &Directory{cfg: cfg, rows: map[string]*row{}, leaving: map[string]leavingMark{}}
}

// Advance records that all records before an offset have been applied. An endpoint that is
// not known after that has been removed, so an older record does not add it again.
func (d *Directory) Advance(end int64) {
	d.appliedTo = max(d.appliedTo, end)
}

// Restart records that the whole list was read from its source up to an offset. It may be lower
// than those known, if the source has lost records.
func (d *Directory) Restart(end int64) {
	d.appliedTo = end
}

// Rewind forgets all offsets, since the source came back from an older copy and gives them out
// again. That copy may list an endpoint as it was before it was draining, so that is kept.
func (d *Directory) Rewind(now time.Duration) {
	d.appliedTo = 0
	for id, known := range d.rows {
		known.offset = 0
		if known.endpoint.Draining {
			d.leaving[id] = leavingMark{born: known.endpoint.Born, at: now}
		}
	}
}

// EndOutage records that the list can be read again after an outage.
func (d *Directory) EndOutage(now time.Duration) {
	d.outageEnd, d.hadOutage = now, true
}

// Put adds or updates the endpoint of a valid record.
func (d *Directory) Put(offset int64, e Endpoint) Change {
	known, ok := d.rows[e.ID]
	switch {
	case ok && offset < known.offset, !ok && offset < d.appliedTo:
		return Unchanged
	case !ok || known.endpoint.Born != e.Born:
		d.rows[e.ID] = &row{endpoint: e, offset: offset}
		return Added
	case known.endpoint != e || known.expiresAt != 0:
		known.endpoint, known.offset, known.expiresAt = e, offset, 0
		return Updated
	}
	known.offset = offset
	return Unchanged
}

// MarkLeaving records that the incarnation of an endpoint that started at born said itself that
// it leaves. It counts as draining from now on, whatever its row says, until another
// incarnation is listed. MarkLeaving reports whether this was not known.
func (d *Directory) MarkLeaving(now time.Duration, id string, born int64) bool {
	if mark, ok := d.leaving[id]; ok && mark.born == born {
		return false
	}
	if known, ok := d.rows[id]; ok && known.endpoint.Born != born {
		return false
	}
	d.leaving[id] = leavingMark{born: born, at: now}
	return true
}

// Remove handles that the record of an endpoint was removed from the list: the endpoint
// is dropped or, shortly after an outage, marked as lapsed.
func (d *Directory) Remove(now time.Duration, offset int64, id string) Change {
	known, ok := d.rows[id]
	if !ok || offset < known.offset {
		return Unchanged
	}
	if d.hadOutage && now < d.outageEnd+d.cfg.ReregisterTime {
		if known.expiresAt == 0 {
			known.expiresAt, known.offset = d.outageEnd+d.cfg.ReregisterTime, offset
			return Lapsed
		}
		return Unchanged
	}
	delete(d.rows, id)
	return Removed
}

// RemoveMalformed drops the endpoint whose newest record is malformed.
func (d *Directory) RemoveMalformed(offset int64, id string) Change {
	known, ok := d.rows[id]
	if !ok || offset < known.offset {
		return Unchanged
	}
	delete(d.rows, id)
	return Removed
}

// Replace removes the endpoints that the whole list, read up to the offset end, does not
// hold. It returns the IDs of those that were dropped, without the lapsed ones.
func (d *Directory) Replace(now time.Duration, end int64, listed map[string]bool) []string {
	var dropped []string
	for id := range d.rows {
		if !listed[id] && d.Remove(now, end, id) == Removed {
			dropped = append(dropped, id)
		}
	}
	sort.Strings(dropped)
	return dropped
}

// HasLapsed reports whether the directory holds lapsed endpoints.
func (d *Directory) HasLapsed() bool {
	for _, known := range d.rows {
		if known.expiresAt != 0 {
			return true
		}
	}
	return false
}

// CancelOutage records that the last outage was none: it drops the lapsed endpoints, since
// their records were removed, and returns their IDs.
func (d *Directory) CancelOutage() []string {
	d.hadOutage = false
	var dropped []string
	for id, known := range d.rows {
		if known.expiresAt != 0 {
			delete(d.rows, id)
			dropped = append(dropped, id)
		}
	}
	sort.Strings(dropped)
	return dropped
}

// Expire drops the lapsed endpoints whose time is over, and returns their IDs.
func (d *Directory) Expire(now time.Duration) []string {
	var dropped []string
	for id, known := range d.rows {
		if known.expiresAt != 0 && now >= known.expiresAt {
			delete(d.rows, id)
			dropped = append(dropped, id)
		}
	}
	for id, mark := range d.leaving {
		if now >= mark.at+leavingRetention {
			delete(d.leaving, id)
		}
	}
	sort.Strings(dropped)
	return dropped
}

// All lists the endpoints, draining ones included, sorted by ID.
func (d *Directory) All() []Endpoint {
	list := make([]Endpoint, 0, len(d.rows))
	for _, known := range d.rows {
		e := known.endpoint
		mark, marked := d.leaving[e.ID]
		e.Draining = e.Draining || marked && mark.born == e.Born
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
