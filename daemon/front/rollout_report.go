package front

import (
	"cmp"
	"slices"
	"time"

	"primrosespoke.dev/coord/rollout"
)

const (
	// maxReportedRollouts, maxReportedRoutes and maxReportedVerdicts bound what a report carries
	// of roll-outs.
	maxReportedRollouts, maxReportedRoutes, maxReportedVerdicts = 32, 48, 8
	// maxReportedName bounds the length of names, maxReportedOrders the generations of a target
	// and maxReportedPace the seconds of an answer that another entry may report.
	maxReportedName, maxReportedOrders, maxReportedPace = 256, 1 << 20, 3600
)

// reportedRollout is a roll-out in a report.
type reportedRollout struct {
	Service    string            `cbor:"1,keyasint"`
	Target     string            `cbor:"2,keyasint,omitempty"`
	Order      [3]int64          `cbor:"3,keyasint"` // era and offset of its row, and rollout.ID.Over
	DurationMS int64             `cbor:"4,keyasint,omitempty"`
	AgeMS      int64             `cbor:"5,keyasint,omitempty"`
	Records    []reportedVerdict `cbor:"6,keyasint,omitempty"`
	Routes     []reportedRoute   `cbor:"7,keyasint,omitempty"`
	LongestMS  int64             `cbor:"8,keyasint,omitempty"`
	Blocking   int               `cbor:"9,keyasint,omitempty"` // runs at old versions that can't be repeated
	Streams    int               `cbor:"10,keyasint,omitempty"`
	Informed   bool              `cbor:"11,keyasint,omitempty"`
}

// reportedVerdict is what is known of one target.
type reportedVerdict struct {
	Target     string   `cbor:"1,keyasint"`
	Generation int64    `cbor:"2,keyasint,omitempty"`
	Phase      uint8    `cbor:"3,keyasint,omitempty"`
	Written    bool     `cbor:"4,keyasint,omitempty"`
	WrittenAt  [3]int64 `cbor:"5,keyasint"`
	Reason     string   `cbor:"6,keyasint,omitempty"`
}

// reportedRoute is what the entry has seen of both versions on a route.
type reportedRoute struct {
	Route string   `cbor:"1,keyasint"`
	Old   [3]int64 `cbor:"2,keyasint"` // sent, answered, bad
	New   [3]int64 `cbor:"3,keyasint"`
	Pace  float64  `cbor:"4,keyasint,omitempty"` // seconds of the old version for a short request; 0 = unknown
}

func encodeID(id rollout.ID) [3]int64 { return [3]int64{id.Era, id.Offset, id.Over} }

func decodeID(id [3]int64) rollout.ID { return rollout.ID{Era: id[0], Offset: id[1], Over: id[2]} }

func encodeCounts(c rollout.Counts) [3]int64 { return [3]int64{c.Sent, c.Answered, c.Bad} }

// decodeCounts bounds counts, so that their sums can't overflow.
func decodeCounts(c [3]int64) rollout.Counts {
	sent := min(max(c[0], 0), maxReportedCount)
	answered := min(max(c[1], 0), sent)
	return rollout.Counts{Sent: sent, Answered: answered, Bad: min(max(c[2], 0), answered)}
}

// encodeRollouts returns the roll-outs for a report: those without a verdict in the store, or all.
func (c *control) encodeRollouts(now time.Duration, all bool) []reportedRollout {
	if c.rollouts.set == nil {
		return nil
	}
	var list []reportedRollout
	for _, r := range c.rollouts.set.Reports(now, all) {
		if len(list) == maxReportedRollouts {
			break
		}
		e := reportedRollout{
			Service: r.Service, Target: r.Order.Target, Order: encodeID(r.Order.ID), DurationMS: r.Order.Duration.Milliseconds(), AgeMS: r.Age.Milliseconds(),
			LongestMS: r.Longest.Milliseconds(), Blocking: r.Blocking, Streams: r.Streams, Informed: r.Informed,
		}
		for _, k := range r.Records[:min(len(r.Records), maxReportedVerdicts)] {
			e.Records = append(e.Records, reportedVerdict{
				Target: k.Target, Generation: k.Generation, Phase: uint8(k.Phase), Written: k.Written, WrittenAt: encodeID(k.WrittenAt), Reason: k.Reason,
			})
		}
		for route, p := range r.Evidence {
			e.Routes = append(e.Routes, reportedRoute{Route: route, Old: encodeCounts(p.Old), New: encodeCounts(p.New), Pace: r.Paces[route]})
		}
		slices.SortFunc(e.Routes, func(a, b reportedRoute) int {
			return cmp.Or(cmp.Compare(b.Old[0]+b.New[0], a.Old[0]+a.New[0]), cmp.Compare(a.Route, b.Route))
		})
		e.Routes = e.Routes[:min(len(e.Routes), maxReportedRoutes)]
		list = append(list, e)
	}
	return list
}

// decodeRollouts returns what a report says of roll-outs, without what is unusable.
func decodeRollouts(list []reportedRollout) []rollout.Report {
	var reports []rollout.Report
	for _, e := range list[:min(len(list), maxReportedRollouts)] {
		if !isReportedName(e.Service) || e.Target != "" && !isReportedName(e.Target) {
			continue
		}
		r := rollout.Report{
			Service: e.Service, Age: reportedTime(e.AgeMS), Longest: reportedTime(e.LongestMS),
			Blocking: clampCount(e.Blocking), Streams: clampCount(e.Streams), Informed: e.Informed,
			Evidence: rollout.Evidence{}, Paces: map[string]float64{},
			Order: rollout.Order{
				ID: decodeID(e.Order), Service: e.Service, Target: e.Target, Duration: max(reportedTime(e.DurationMS), rollout.MinDuration),
			},
		}
		for _, k := range e.Records[:min(len(e.Records), maxReportedVerdicts)] {
			phase := rollout.Phase(k.Phase)
			usable := isReportedName(k.Target) && phase <= rollout.Completed && k.Generation >= 0 && k.Generation <= maxReportedOrders &&
				(phase.Decided() || !k.Written) && len(k.Reason) <= maxReportedName
			if !usable {
				continue
			}
			record := rollout.Record{Target: k.Target, Generation: k.Generation, Phase: phase, Written: k.Written, Reason: k.Reason}
			if k.Written {
				record.WrittenAt = decodeID(k.WrittenAt)
			}
			r.Records = append(r.Records, record)
		}
		for _, route := range e.Routes[:min(len(e.Routes), maxReportedRoutes)] {
			if len(route.Route) > maxReportedName {
				continue
			}
			r.Evidence[route.Route] = rollout.Pair{Old: decodeCounts(route.Old), New: decodeCounts(route.New)}
			if route.Pace > 0 && route.Pace <= maxReportedPace {
				r.Paces[route.Route] = route.Pace
			}
		}
		reports = append(reports, r)
	}
	return reports
}

func isReportedName(name string) bool {
	return name != "" && len(name) <= maxReportedName
}

// reportedTime bounds a time that another entry reports.
func reportedTime(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), rollout.MaxDuration.Milliseconds())) * time.Millisecond
}
