// Package load makes bounded, seeded load against an entry, or against anything
// that answers chat completions, and measures what callers get.
package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand"
	"strings"
	"time"
)

// bytesPerToken is the length of a token of prompt text in bytes.
const bytesPerToken = 4

// Range is an inclusive range of token counts.
type Range struct {
	Min, Max int
}

// pick draws from the range so that each doubling is as likely as the next.
func (r Range) pick(rng *rand.Rand) int {
	low, high := math.Log(float64(r.Min)), math.Log(float64(r.Max))
	return int(math.Round(math.Exp(low + rng.Float64()*(high-low))))
}

// mean is the expected value of pick.
func (r Range) mean() float64 {
	if r.Min == r.Max {
		return float64(r.Min)
	}
	low, high := float64(r.Min), float64(r.Max)
	return (high - low) / math.Log(high/low)
}

// Class is one kind of request.
type Class struct {
	// Tier the requests ask for.
	Tier string
	// Share of all requests; shares are relative.
	Share float64
	// Prompt is the length of the prompt's own part, in tokens.
	Prompt Range
	// Tokens is the length of the answer.
	Tokens Range
	// Prefixes is how many shared beginnings the prompts choose from; 0 = none.
	Prefixes int
	// PrefixTokens is the length of a shared beginning.
	PrefixTokens int
	// Deadline is the time in which the whole answer is of use.
	Deadline time.Duration
	// Service names a plain service to book at instead of a model; empty = none.
	Service string
}

// Account is a client account as the load sees it.
type Account struct {
	// Name and Key are as in the table.
	Name string
	Key  string
	// Share of all requests; shares are relative.
	Share float64
}

// Mix says what is asked, and by whom.
type Mix struct {
	// Model is the model asked for.
	Model string
	// Classes and Accounts are drawn independently.
	Classes  []Class
	Accounts []Account
	// Patience is when a caller gives up waiting for the first byte; 0 = at the deadline.
	Patience time.Duration
	// Retries is how often an impatient or refused caller asks again.
	Retries int
	// HonourRetryAfter makes refused callers wait as long as the answer asks.
	HonourRetryAfter bool
}

// Means returns the expected own prompt, shared prompt and answer of a request, in tokens.
func (m Mix) Means() (prompt, prefix, answer float64) {
	total := 0.0
	for _, c := range m.Classes {
		if c.Service != "" {
			continue
		}
		total += c.Share
		prompt += c.Share * c.Prompt.mean()
		answer += c.Share * c.Tokens.mean()
		if c.Prefixes > 0 {
			prefix += c.Share * float64(c.PrefixTokens)
		}
	}
	return prompt / total, prefix / total, answer / total
}

// Request is one request of a plan.
type Request struct {
	// At is when it is sent, from the start of the plan.
	At time.Duration
	// Account and Key are the caller's.
	Account string
	Key     string
	// Class is what is asked.
	Class Class
	// Prompt is its text, unique to the request, and Digest marks its answer.
	Prompt string
	Digest string
	// MaxTokens is the length of the answer.
	MaxTokens int
}

// Plan is a seeded sequence of requests in order of time.
type Plan struct {
	Mix      Mix
	Requests []Request
}

// Rate gives the requests a second at a time of the plan.
type Rate func(at time.Duration) float64

// Constant is a steady rate.
func Constant(perSecond float64) Rate {
	return func(time.Duration) float64 { return perSecond }
}

// NewPlan draws Poisson arrivals for a duration. Equal arguments give equal plans.
func NewPlan(mix Mix, rate Rate, duration time.Duration, seed int64) Plan {
	rng := rand.New(rand.NewSource(seed))
	plan := Plan{Mix: mix}
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < duration; at += step {
		expected := rate(at) * step.Seconds()
		for expected > 0 && rng.Float64() < expected {
			offset := time.Duration(rng.Int63n(int64(step)))
			plan.Requests = append(plan.Requests, drawRequest(mix, at+offset, rng, seed, len(plan.Requests)))
			expected--
		}
	}
	return plan
}

func drawRequest(mix Mix, at time.Duration, rng *rand.Rand, seed int64, n int) Request {
	class := mix.Classes[pickWeighted(rng, len(mix.Classes), func(i int) float64 { return mix.Classes[i].Share })]
	account := mix.Accounts[pickWeighted(rng, len(mix.Accounts), func(i int) float64 { return mix.Accounts[i].Share })]
	r := Request{At: at, Account: account.Name, Key: account.Key, Class: class, MaxTokens: class.Tokens.pick(rng)}
	own := class.Prompt.pick(rng)
	head := ""
	if class.Prefixes > 0 {
		head = fillerText(fmt.Sprintf("%s %s site log %d. ", account.Name, class.Tier, rng.Intn(class.Prefixes)), class.PrefixTokens)
	}
	r.Prompt = head + fillerText(fmt.Sprintf("request %d of plan %d. ", n, seed), own)
	r.Digest = digest(r.Prompt)
	return r
}

func pickWeighted(rng *rand.Rand, n int, share func(int) float64) int {
	total := 0.0
	for i := range n {
		total += share(i)
	}
	point := rng.Float64() * total
	for i := range n {
		point -= share(i)
		if point < 0 {
			return i
		}
	}
	return n - 1
}

// fillerText repeats a phrase to a length in tokens.
func fillerText(phrase string, tokens int) string {
	size := max(tokens*bytesPerToken, len(phrase))
	return strings.Repeat(phrase, size/len(phrase)+1)[:size]
}

func digest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:4])
}
