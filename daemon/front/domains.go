package front

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

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
