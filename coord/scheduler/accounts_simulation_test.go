package scheduler_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

// floodFactor is how many times its usual amount the flooding account sends.
const floodFactor = 7.5

// accountWeights are the usual parts of the demand: some accounts are large.
var accountWeights = []float64{4, 4, 3, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}

// accountKinds are requests of one rank, of which slots run out before the engines' prefill does.
var accountKinds = []requestKind{
	{"question", 75, 628, 250, 400 * ms, 12 * time.Second, 0, 1.0, 0.8, 0.3, 600, 3310},
	{"report", 25, 1800, 450, 800 * ms, 12 * time.Second, 0, 1.0, 0.8, 0.3, 600, 6870},
}

// accountLoad is a steady load of several client accounts of one rank, one of which floods in the
// middle of the replay.
type accountLoad struct {
	load      float64 // of all accounts without the flood, as a multiple of accountKinds
	flooding  int     // account
	factor    float64 // of its usual amount, during the flood
	oneFront  bool    // the flood enters through one front, otherwise through all
	accountOf map[*simCall]int
	// usual and flood draw the calls, so that they do not depend on what became of earlier ones.
	usual, flood *simulation
}

const (
	floodStart  = 6 * time.Second
	floodEnd    = 14 * time.Second
	floodLength = 16 * time.Second
)

// addArrivals submits the calls of one tick.
func (l *accountLoad) addArrivals(w *simulation, now time.Duration) {
	if now >= floodLength {
		return
	}
	total := 0.0
	for _, weight := range accountWeights {
		total += weight
	}
	for account, weight := range accountWeights {
		for k := range accountKinds {
			rate := accountKinds[k].perSecond * l.load * weight / total * simTick.Seconds()
			for range l.usual.poisson(rate) {
				l.submit(w, l.usual, now, account, k, l.usual.rng.Intn(len(w.fronts)))
			}
			if account != l.flooding || now < floodStart || now >= floodEnd {
				continue
			}
			for range l.flood.poisson(rate * (l.factor - 1)) {
				front := l.flood.rng.Intn(len(w.fronts))
				if l.oneFront {
					front = 0
				}
				l.submit(w, l.flood, now, account, k, front)
			}
		}
	}
}

func (l *accountLoad) submit(w, draw *simulation, now time.Duration, account, k, front int) {
	kind := &accountKinds[k]
	c := &simCall{kind: kind, firstSentAt: now, front: front}
	c.prompt = draw.drawTokens(kind.prompt, kind.promptSpread, kind.maxPrompt)
	c.output = draw.drawTokens(kind.output, kind.outputSpread, kind.maxOutput)
	c.hint = min(max(int(float64(c.output)*math.Exp(kind.hintSpread*draw.rng.NormFloat64())), 1), kind.maxOutput)
	w.result.sent++
	w.count(c, 0)
	w.result.calls = append(w.result.calls, c)
	l.accountOf[c] = account
	w.submit(now, c)
}

// accountFront passes the accounts of calls on to the scheduler.
type accountFront struct {
	*adapter
	load    *accountLoad
	refused int
}

func (f *accountFront) enqueue(now time.Duration, c *simCall) {
	r := callRequest(now, c)
	r.Account = fmt.Sprint("account-", f.load.accountOf[c])
	f.s.Enqueue(r)
}

func (f *accountFront) plan(now time.Duration) scheduler.Plan {
	p := f.s.Plan(now)
	f.refused += len(p.Refusals)
	return p
}

// accountOutcome is what the callers got during the flood.
type accountOutcome struct {
	outcome
	others, othersServed int // calls of the other accounts that were sent during the flood
	flood, floodServed   int
	refusals             int // decisions
	lost                 int // calls without an answer within their deadline
}

func (o accountOutcome) othersShare() float64 { return float64(o.othersServed) / float64(o.others) }
func (o accountOutcome) floodShare() float64 {
	return float64(o.floodServed) / float64(max(o.flood, 1))
}

func (l *accountLoad) replay(seed int64, d deployment, sharing scheduler.Mode) accountOutcome {
	l.accountOf = map[*simCall]int{}
	l.usual, l.flood = &simulation{rng: rand.New(rand.NewSource(seed + 100))}, &simulation{rng: rand.New(rand.NewSource(seed + 200))}
	d.kinds, d.length, d.trouble = nil, floodLength, l.addArrivals
	var fronts []*accountFront
	w := newSimulation(seed, d, func(d deployment, i int, rows []directory.Endpoint) policy {
		f := &accountFront{adapter: newSchedulerPolicyWith(d, i, rows, scheduler.Config{AccountSharing: sharing}), load: l}
		fronts = append(fronts, f)
		return f
	})
	out := accountOutcome{outcome: w.run()}
	for _, f := range fronts {
		out.refusals += f.refused
	}
	for _, c := range out.calls {
		if !c.served {
			out.lost++
		}
		if c.firstSentAt < floodStart || c.firstSentAt >= floodEnd {
			continue
		}
		n := 0
		if c.served {
			n = 1
		}
		if l.accountOf[c] == l.flooding {
			out.flood, out.floodServed = out.flood+1, out.floodServed+n
			continue
		}
		out.others, out.othersServed = out.others+1, out.othersServed+n
	}
	return out
}

// floodTolerance is the part of the others' calls that the flood may cost: until its work of late exceeds
// that of the other large account, both are the same to the scheduler.
const floodTolerance = 0.01

// floodDeployments have 1, 5 and 28 fronts.
var floodDeployments = []struct {
	size deployment
	load float64
}{
	{deployment{fronts: 1, engines: 12, reportInterval: 50 * ms, slots: 11}, 1.4},
	{deployment{fronts: 5, engines: 12, reportInterval: 50 * ms, slots: 11}, 1.4},
	{deployment{fronts: 28, engines: 24, reportInterval: 140 * ms, groupReportInterval: 30 * ms, slots: 6}, 1.4},
}

// An account that sends 7.5 times its usual amount, through one front or through all, takes nothing
// from the other accounts of its rank: as many of their calls are answered within their deadline as
// without the flood. No more is refused than without sharing.
func TestAFloodOfOneAccountCostsTheOthersNothing(t *testing.T) {
	for _, d := range floodDeployments {
		for _, oneFront := range []bool{true, false} {
			if oneFront && d.size.fronts == 1 {
				continue
			}
			t.Run(fmt.Sprintf("fronts=%d/one_front=%t", d.size.fronts, oneFront), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				replay := func(factor float64, mode scheduler.Mode) accountOutcome {
					l := &accountLoad{load: d.load, flooding: 0, factor: factor, oneFront: oneFront}
					return l.replay(1, d.size, mode)
				}
				usual, before, shared := replay(1, scheduler.Off), replay(floodFactor, scheduler.Off), replay(floodFactor, scheduler.On)
				for i, o := range []accountOutcome{usual, before, shared} {
					t.Logf("%-18s others served %.4f of %d, flooding account %.3f of %d, refusals %d, calls without answer %d of %d, wasted %.3f idle %.3f over %.3f", []string{"usual:", "flood, not shared:", "flood, shared:"}[i],
						o.othersShare(), o.others, o.floodShare(), o.flood, o.refusals, o.lost, o.sent, o.wastedShare(), o.idleShare(), o.overShare())
				}
				g.Expect(usual.othersShare()).To(BeNumerically(">", 0.99), "the usual load is served")
				g.Expect(before.othersShare()).To(BeNumerically("<", usual.othersShare()-floodTolerance), "the flood costs the others without sharing")
				g.Expect(shared.othersShare()).To(BeNumerically(">=", usual.othersShare()-floodTolerance), "the others keep what they had")
				g.Expect(shared.refusals).To(BeNumerically("<=", before.refusals), "no more is refused")
			})
		}
	}
}
