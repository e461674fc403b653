// Package directory holds which endpoints there are, as the platform's list tells.
//
// The list lags and is written by the endpoints themselves, so a record may be
// malformed, an address may pass to another endpoint, and all records may lapse
// while the list is unreachable. An endpoint whose record vanished is gone at
// once, unless the record may have lapsed in an outage: then it stays usable for
// the time within which living endpoints register again.
package directory

import (
	"sort"
	"time"
)

// Endpoint is one row of the list.
type Endpoint struct {
	ID      string
	Service string
	// Address is an IP number and a port.
	Address       string
	FailureDomain string
	// Slots is how many requests it runs at once; 0 = unknown.
	Slots int
	// Draining endpoints get no new work.
	Draining bool
	// Born identifies the incarnation behind an ID; 0 = unknown.
	Born int64
}

// Change is what a record did to the list.
type Change int

// Changes of the list.
const (
	// Unchanged means that nothing of interest changed.
	Unchanged Change = iota
	// Added means that an endpoint came, or came again as another incarnation.
	Added
	// Updated means that a known endpoint changed its address, service, slots or state.
	Updated
	// Removed means that an endpoint is gone.
	Removed
	// Lapsed means that a record vanished that an outage may have taken away.
	Lapsed
)

// Config holds the settings of a Directory.
type Config struct {
	// ReregisterTime is how long after an outage's end living endpoints may need to register again.
	ReregisterTime time.Duration
}

type row struct {
	endpoint Endpoint
	offset   int64
	lapseEnd time.Duration // when a lapsed row is dropped; 0 = not lapsed
}

// Directory is the state of one process. It is used by one goroutine.
type Directory struct {
	cfg       Config
	rows      map[string]*row
	outageEnd time.Duration
	outages   bool
}

// New returns an empty directory.
func New(cfg Config) *Directory {
	return &Directory{cfg: cfg, rows: map[string]*row{}}
}

// EndOutage notes that the list can be read again after an outage.
func (d *Directory) EndOutage(now time.Duration) {
	d.outageEnd, d.outages = now, true
}

// Put takes in a valid record.
func (d *Directory) Put(offset int64, e Endpoint) Change {
	known, ok := d.rows[e.ID]
	switch {
	case ok && offset < known.offset:
		return Unchanged
	case !ok || known.endpoint.Born != e.Born:
		d.rows[e.ID] = &row{endpoint: e, offset: offset}
		return Added
	case known.endpoint != e || known.lapseEnd != 0:
		known.endpoint, known.offset, known.lapseEnd = e, offset, 0
		return Updated
	}
	known.offset = offset
	return Unchanged
}

// Remove takes in that a record vanished.
func (d *Directory) Remove(now time.Duration, offset int64, id string) Change {
	known, ok := d.rows[id]
	if !ok || offset < known.offset {
		return Unchanged
	}
	if d.outages && now < d.outageEnd+d.cfg.ReregisterTime {
		if known.lapseEnd == 0 {
			known.lapseEnd, known.offset = d.outageEnd+d.cfg.ReregisterTime, offset
			return Lapsed
		}
		return Unchanged
	}
	delete(d.rows, id)
	return Removed
}

// RemoveMalformed takes in a record that can't be used: it names no endpoint.
func (d *Directory) RemoveMalformed(offset int64, id string) Change {
	known, ok := d.rows[id]
	if !ok || offset < known.offset {
		return Unchanged
	}
	delete(d.rows, id)
	return Removed
}

// Replace takes in the whole list as read at an offset. What it lacks has vanished.
func (d *Directory) Replace(now time.Duration, end int64, listed map[string]bool) []string {
	var gone []string
	for id := range d.rows {
		if !listed[id] && d.Remove(now, end, id) == Removed {
			gone = append(gone, id)
		}
	}
	sort.Strings(gone)
	return gone
}

// Expire drops lapsed rows whose time is up, and returns their IDs.
func (d *Directory) Expire(now time.Duration) []string {
	var gone []string
	for id, known := range d.rows {
		if known.lapseEnd != 0 && now >= known.lapseEnd {
			delete(d.rows, id)
			gone = append(gone, id)
		}
	}
	sort.Strings(gone)
	return gone
}

// All lists the endpoints, draining ones included, sorted by ID.
func (d *Directory) All() []Endpoint {
	list := make([]Endpoint, 0, len(d.rows))
	for _, known := range d.rows {
		list = append(list, known.endpoint)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
