package front

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/peer/backend"
)

// The ages at which a front reads the list, reads it itself and stops sending follow one
// another with time for the step between, for the bounds of the users' deployments.
func TestAgesOfTheEndpointListLeaveTimeForEachStep(t *testing.T) {
	for _, leaveWithin := range []time.Duration{2 * time.Second, 3 * time.Second} {
		g := NewWithT(t)
		f := &Front{config: Config{LeaveWithin: leaveWithin}.withDefaults()}
		hedge := shareOf(leaveWithin, hedgeShare)
		g.Expect(f.config.Timing.EndpointInterval+relayReadTimeout).To(BeNumerically("<", f.listRefreshAge()), "a late read of the store, and a relayed one")
		g.Expect(f.listRefreshAge()+hedge).To(BeNumerically("<", f.maxListAge()), "a read of the store that is not answered, before requests are held")
		g.Expect(shareOf(leaveWithin, outageGapShare)).To(BeNumerically(">", f.listRefreshAge()), "no gap without a failed read")
		g.Expect(f.maxListAge()+backend.DefaultDialTimeout).To(BeNumerically("<=", leaveWithin), "a request that was placed just before")
	}
}

// The same of the configuration: a poll, a hedged read after it and a late copy of another front
// fit before requests wait.
func TestAgesOfTheConfigurationLeaveTimeForEachStep(t *testing.T) {
	for _, applyWithin := range []time.Duration{2 * time.Second, 3 * time.Second} {
		g := NewWithT(t)
		f := &Front{config: Config{ApplyWithin: applyWithin}.withDefaults()}
		g.Expect(f.relayWait(TopicConfiguration)).To(BeNumerically("<=", f.configurationRefreshAge()), "the next read of a parent")
		g.Expect(f.config.Timing.ConfigurationWait+2*f.hedgeDelay(TopicConfiguration)).To(BeNumerically("<", f.configurationAgeLimit()), "a poll that is not answered, and a second read")
		g.Expect(shareOf(applyWithin, outageGapShare)).To(BeNumerically(">", f.configurationRefreshAge()), "no gap without a failed read")
		g.Expect(f.configurationAgeLimit()).To(BeNumerically("<", applyWithin))
	}
}

// The check just before the send does not depend on when the request was placed.
func TestARequestIsNotSentByAListThatBecameTooOldAfterItsPlacement(t *testing.T) {
	g := NewWithT(t)
	f, err := New(Config{CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"})
	g.Expect(err).NotTo(HaveOccurred())
	defer f.closeListeners()
	placement := scheduler.Placement{Endpoint: "a", Address: "10.0.0.1:80"}
	view := endpointView{known: true, asOf: f.now(), usable: map[string]directory.Endpoint{"a": {ID: "a", Address: "10.0.0.1:80"}}}
	check := func(change func(*endpointView)) string {
		changed := view
		change(&changed)
		f.endpointView.Store(&changed)
		return f.checkEndpoint(placement)
	}
	g.Expect(check(func(*endpointView) {})).To(BeEmpty())
	old := func(v *endpointView) { v.asOf -= f.maxListAge() + time.Millisecond }
	g.Expect(check(old)).To(Equal(reasonListOld))
	g.Expect(check(func(v *endpointView) { old(v); v.storeOut = true })).To(BeEmpty(), "nobody can read the list")
	g.Expect(check(func(v *endpointView) { v.usable = nil })).To(Equal(reasonEndpointLeft))
	for name, other := range map[string]directory.Endpoint{
		"moved": {Address: "10.0.0.2:80"}, "another incarnation": {Address: "10.0.0.1:80", Born: 2}, "another software version": {Address: "10.0.0.1:80", Version: "v2"},
	} {
		g.Expect(check(func(v *endpointView) { v.usable = map[string]directory.Endpoint{"a": other} })).To(Equal(reasonEndpointLeft), name)
	}
}
