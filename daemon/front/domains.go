package front

import (
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/scheduler"
)

// outsideLoadsInterval is the number of full reports of which one carries the loads at all endpoints
// to entries of other failure domains. They choose among these endpoints for the part of their demand
// alone that leaves their domain; how much that is follows from the demand, which is in each report.
const outsideLoadsInterval = 4

// updateReportGroup sets the entries that get frequent reports.
func (c *control) updateReportGroup() {
	c.reporting.byDomain = c.scheduler.PrefersDomain()
	c.reporting.group = c.scheduler.Group()
}

// reviewDomainPreference adapts the group when the preference for the own failure domain begins or
// ends: by the first statement of an endpoint, or a change of the list.
func (c *control) reviewDomainPreference() {
	if prefers := c.scheduler.PrefersDomain(); prefers != c.reporting.byDomain {
		c.updateReportGroup()
		c.front.log.Info().Bool("preferred", prefers).Str("domain", c.front.config.FailureDomain).Strs("group", c.reporting.group).Msg("domain_preference_changed")
	}
}

// logSpill logs the changes of the part of the demand that leaves the failure domain.
func (c *control) logSpill() {
	for _, change := range c.scheduler.SpillChanges() {
		d := change.Decision
		c.front.log.Info().Str("service", change.Service).Str("domain", c.front.config.FailureDomain).
			Float64("part_before", change.Before).Float64("part", change.After).Float64("leaving", d.Leaving).Interface("to", d.To).
			Float64("demand", d.Demand).Float64("slots", d.Slots).Int64("wait_ms", d.Wait.Milliseconds()).Int64("allowed_ms", d.Allowed.Milliseconds()).
			Interface("room", d.Room).Float64("pressure", d.Pressure).Float64("excess", d.Excess).Int64("report_age_ms", d.Age.Milliseconds()).Msg("domain_spill_changed")
	}
}

// sendFullReport sends a full report to all entries. Where the own failure domain is preferred, most
// reports to entries of other domains hold the loads at the endpoints there alone. Entries that don't
// say that they understand this get all loads, since they would take a missing one for none.
func (c *control) sendFullReport(r report) {
	if !c.reporting.byDomain || c.front.config.Places {
		c.report(r, c.members.names())
		return
	}
	var all []string
	inPart := map[string][]string{} // by failure domain
	domains := c.members.domainNames()
	for _, name := range c.members.names() {
		s := c.members.all[name]
		if domain := s.FailureDomain; s.takesPart && domain != "" && domain != c.front.config.FailureDomain && !c.outsideLoadsDue(slices.Index(domains, domain)) {
			inPart[domain] = append(inPart[domain], name)
			continue
		}
		all = append(all, name)
	}
	if len(all) > 0 {
		c.report(r, all)
	}
	for _, domain := range domains {
		if names := inPart[domain]; len(names) > 0 {
			part := r
			part.LoadsInPart, part.Loads, part.Memory = true, c.atDomain(r.Loads, domain), c.atDomain(r.Memory, domain)
			c.report(part, names)
		}
	}
}

// atDomain returns the loads at the endpoints of a failure domain and at endpoints that are not usable.
func (c *control) atDomain(loads map[string][2]int, domain string) map[string][2]int {
	part := map[string][2]int{}
	for id, load := range loads {
		if e, ok := c.usable[id]; !ok || e.FailureDomain == domain {
			part[id] = load
		}
	}
	return part
}

// outsideLoadsDue reports whether the full report that was last made carries all loads to a domain. The
// domains get them in turns.
func (c *control) outsideLoadsDue(domain int) bool {
	return (c.reporting.fullReports+uint64(domain))%outsideLoadsInterval == 0
}

// completeLoads returns the loads of an entry. To a report with loads in part it adds those at the
// endpoints of other domains from the newest report with all, unless that is too old.
func (c *control) completeLoads(now time.Duration, from *memberState, r report, loads map[string]scheduler.Load) map[string]scheduler.Load {
	if !r.LoadsInPart {
		from.loads, from.loadsAt = loads, now
		return loads
	}
	if from.loadsAt == 0 || now >= from.loadsAt+missedReports*outsideLoadsInterval*time.Duration(r.IntervalMS)*time.Millisecond {
		return loads
	}
	for id, load := range from.loads {
		if e, ok := c.usable[id]; !ok || e.FailureDomain != c.front.config.FailureDomain {
			if _, fresh := loads[id]; !fresh {
				loads[id] = load
			}
		}
	}
	return loads
}

// domainNames returns the failure domains of the entries whose rows were read, sorted.
func (m *members) domainNames() []string {
	var names []string
	for _, s := range m.all {
		if s.FailureDomain != "" {
			names = append(names, s.FailureDomain)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// reportSent counts the bytes of a report.
func (m *metrics) reportSent(bytes int, outside bool) {
	m.reportBytes.Add(context.Background(), int64(bytes), metric.WithAttributes(attribute.String("domain", whichDomain(outside))))
}

// placedIn counts a request that was placed inside or outside the failure domain.
func (m *metrics) placedIn(service string, outside bool) {
	m.domainPlacements.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("domain", whichDomain(outside))))
}

func whichDomain(outside bool) string {
	if outside {
		return "outside"
	}
	return "inside"
}
