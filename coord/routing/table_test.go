package routing_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/routing"
)

func table() *routing.Table {
	rank := 2
	return routing.NewTable(7,
		[]routing.Route{
			{Name: "all", Host: "Desk.example", Prefix: "/", Targets: []routing.Target{{Service: "desk", Weight: 1}}},
			{Name: "kits", Host: "desk.example", Prefix: "/kits/", Targets: []routing.Target{{Service: "desk", Weight: 9}, {Service: "new", Weight: 1}}},
			{Name: "open", Host: "desk.example", Prefix: "/open/", Public: true, Targets: []routing.Target{{Service: "desk", Weight: 1}}},
		},
		[]routing.Service{{Name: "desk"}, {Name: "new"}},
		routing.AccountList{Present: true, Accounts: []routing.Account{{Name: "crew", Keys: []string{"k1", "k2"}, Priority: &rank}}},
		routing.Limits{})
}

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	g := NewWithT(t)
	for path, name := range map[string]string{"/kits/3": "kits", "/kitsch": "all", "/kits": "all", "/open/x": "open"} {
		g.Expect(table().Match("desk.EXAMPLE:8080", path).Name).To(Equal(name), path)
	}
	g.Expect(table().Match("other.example", "/kits/3")).To(BeNil())
}

func TestHostIsTheSameWithAPortOrAFinalDot(t *testing.T) {
	g := NewWithT(t)
	tb := routing.NewTable(1, []routing.Route{{Name: "name", Host: "desk.example.", Prefix: "/"}, {Name: "address", Host: "[2001:DB8::1]", Prefix: "/"}}, nil, routing.AccountList{}, routing.Limits{})
	for host, name := range map[string]string{
		"desk.example": "name", "Desk.example.": "name", "desk.example:": "name", "desk.example:80": "name", "desk.example.:80": "name",
		"[2001:db8::1]": "address", "[2001:db8::1]:80": "address",
	} {
		g.Expect(tb.Match(host, "/")).NotTo(BeNil(), host)
		g.Expect(tb.Match(host, "/").Name).To(Equal(name), host)
	}
	for _, host := range []string{"", ":80", ".", "desk.example..", "desk", "[2001:db8::2]:80"} {
		g.Expect(tb.Match(host, "/")).To(BeNil(), host)
	}
}

func TestAccountIsFoundByAnyOfItsKeys(t *testing.T) {
	g := NewWithT(t)
	g.Expect(table().Account("k2").Name).To(Equal("crew"))
	g.Expect(table().Account("k3")).To(BeNil())
	g.Expect(table().Account("")).To(BeNil())
}

func TestAccountPriorityIsZeroWithoutAnAccount(t *testing.T) {
	g := NewWithT(t)
	tb := table()
	g.Expect(routing.Admission{Route: tb.Match("desk.example", "/"), Account: tb.Account("k1")}.AccountPriority()).To(Equal(2))
	g.Expect(routing.Admission{Route: tb.Match("desk.example", "/open/")}.AccountPriority()).To(BeZero())
}

func TestPickSplitsRequestsByTargetWeight(t *testing.T) {
	g := NewWithT(t)
	r := table().Match("desk.example", "/kits/3")
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	g.Expect(counts).To(Equal(map[string]int{"desk": 900, "new": 100}))
	g.Expect(r.Allows("new")).To(BeTrue())
	g.Expect(r.Allows("other")).To(BeFalse())
	g.Expect((&routing.Route{}).Pick(0.5)).To(BeEmpty())
}

// Guards against a request to a service to which its route sends nothing: one that no weight allows,
// or the last one where the sum of the weights is rounded.
func TestPickReturnsOnlyWhatTheRouteAllows(t *testing.T) {
	g := NewWithT(t)
	targets := func(weights ...float64) *routing.Route {
		r := &routing.Route{}
		for i, w := range weights {
			r.Targets = append(r.Targets, routing.Target{Service: fmt.Sprint("s", i), Weight: w})
		}
		return r
	}
	almostOne := math.Nextafter(1, 0)
	g.Expect(targets(0, 0).Pick(0.5)).To(BeEmpty(), "no weight allows a service")
	g.Expect(targets(-1, 0).Pick(0)).To(BeEmpty())
	g.Expect(targets(0).Pick(0.5)).To(Equal("s0"), "the only target")
	g.Expect(targets(0.01, 0.01, 0.08, 0).Pick(almostOne)).To(Equal("s2"), "the sum is rounded")
	g.Expect(targets(-3, 1, 1).Pick(almostOne)).To(Equal("s2"), "a negative weight takes nothing from the others")
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.OneOf(rapid.SampledFrom([]float64{0, 0.1, 0.2, 0.7, math.MaxFloat64}), rapid.Float64Range(-1, 100))
		r := targets(rapid.SliceOfN(weight, 0, 5).Draw(t, "weights")...)
		draw := rapid.OneOf(rapid.SampledFrom([]float64{0, almostOne}), rapid.Float64Range(0, almostOne)).Draw(t, "draw")
		allowed := slices.ContainsFunc(r.Targets, func(target routing.Target) bool { return r.Allows(target.Service) })
		if picked := r.Pick(draw); r.Allows(picked) != allowed {
			t.Fatalf("picked %q of %+v", picked, r.Targets)
		}
	})
}

func TestOnlyIdempotentAndResumableRoutesAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&routing.Route{Kind: routing.Idempotent}).Repeatable()).To(BeTrue())
	g.Expect((&routing.Route{Kind: routing.NonIdempotent, Resumable: true}).Repeatable()).To(BeFalse())
	g.Expect((&routing.Route{Kind: routing.Streaming}).Repeatable()).To(BeFalse())
	g.Expect((&routing.Route{Kind: routing.Streaming, Resumable: true}).Repeatable()).To(BeTrue())
}

// A read that was sent early and answered late confirms the time at which it was sent,
// and an older confirmation never replaces a newer one.
func TestFreshnessKeepsTheLatestConfirmation(t *testing.T) {
	g := NewWithT(t)
	var f routing.Freshness
	_, known := f.Age(time.Second)
	g.Expect(known).To(BeFalse())
	f.Confirm(2 * time.Second)
	f.Confirm(time.Second)
	age, known := f.Age(5 * time.Second)
	g.Expect(known).To(BeTrue())
	g.Expect(age).To(Equal(3 * time.Second))
}

func TestAdmitRefusesUnknownRoutesAndKeys(t *testing.T) {
	g := NewWithT(t)
	tb := table()
	for _, c := range []struct {
		path, key string
		refusal   routing.Refusal
	}{
		{"/kits/1", "k1", routing.Allowed},
		{"/kits/1", "k9", routing.UnknownKey},
		{"/kits/1", "", routing.UnknownKey},
		{"/open/1", "", routing.Allowed},
	} {
		_, refusal := tb.Admit("desk.example", c.path, c.key, routing.IgnoreKeys)
		g.Expect(refusal).To(Equal(c.refusal), c.path+" "+c.key)
	}
	_, refusal := tb.Admit("other.example", "/kits/1", "k1", routing.IgnoreKeys)
	g.Expect(refusal).To(Equal(routing.NoRoute))
}

// Guards against a version that takes the last account away and so lets every request run.
func TestEmptyListOfAccountsIsNotTheSameAsNoList(t *testing.T) {
	g := NewWithT(t)
	routes := []routing.Route{{Host: "h", Prefix: "/"}, {Host: "h", Prefix: "/open/", Public: true}}
	for _, c := range []struct {
		present   bool
		policy    routing.KeyPolicy
		key, path string
		want      routing.Refusal
		because   string
	}{
		{true, routing.IgnoreKeys, "", "/x", routing.UnknownKey, "a key is needed, and no account has one"},
		{true, routing.IgnoreKeys, "k1", "/x", routing.UnknownKey, "the key was taken away"},
		{true, routing.RefuseUnknownKeys, "k1", "/x", routing.UnknownKey, "the key was taken away"},
		{true, routing.RefuseUnknownKeys, "", "/open/x", routing.Allowed, "a public route needs no key"},
		{true, routing.RefuseUnknownKeys, "k1", "/open/x", routing.Allowed, "a public route needs no key"},
		{false, routing.IgnoreKeys, "", "/x", routing.Allowed, "without the list no key is needed"},
		{false, routing.IgnoreKeys, "k1", "/x", routing.Allowed, "keys are not looked at"},
		{false, routing.RefuseUnknownKeys, "", "/x", routing.Allowed, "without the list no key is needed"},
		{false, routing.RefuseUnknownKeys, "k1", "/x", routing.UnknownKey, "the key was taken away"},
		{false, routing.RefuseUnknownKeys, "k1", "/open/x", routing.Allowed, "a public route needs no key"},
	} {
		tb := routing.NewTable(1, routes, nil, routing.AccountList{Present: c.present}, routing.Limits{})
		admission, refusal := tb.Admit("h", c.path, c.key, c.policy)
		g.Expect(refusal).To(Equal(c.want), "%+v", c)
		g.Expect(admission.Account).To(BeNil())
		g.Expect(tb.AsksForKeys()).To(Equal(c.present))
	}
}
