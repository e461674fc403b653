// Package load is a load generator. It sends a bounded, seeded load to an entry, or to
// anything that answers chat completions, and measures what callers receive.
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

// bytesPerToken is the assumed length of a token of prompt text.
const bytesPerToken = 4

// Range is an inclusive range of token counts.
type Range struct {
	Min, Max int
}

// pick draws a length from the range, uniformly on a logarithmic scale.
func (r Range) pick(rng *rand.Rand) int {
	low, high := math.Log(float64(r.Min)), math.Log(float64(r.Max))
	return int(math.Round(math.Exp(low + rng.Float64()*(high-low))))
}

// mean returns the expected value of pick, before rounding.
func (r Range) mean() float64 {
	if r.Min == r.Max {
		return float64(r.Min)
	}
	low, high := float64(r.Min), float64(r.Max)
	return (high - low) / math.Log(high/low)
}

// Class describes one kind of request.
type Class struct {
	// Tier is the tier that the requests ask for; empty = the account's default.
	Tier string
	// Share is the relative share of all requests.
	Share float64
	// Prompt is the length of the part of the prompt that isn't shared, in tokens.
	Prompt Range
	// Tokens is the length of the answer, in tokens.
	Tokens Range
	// Prefixes is how many shared prefixes the prompts choose from; 0 = none.
	Prefixes int
	// PrefixTokens is the length of a shared prefix, in tokens.
	PrefixTokens int
	// Deadline is the time within which the whole answer must arrive.
	Deadline time.Duration
	// Service is the plain service to send bookings to; empty = requests go to the model.
	Service string
}

// Account is a client account that sends requests.
type Account struct {
	// Name and Key are the account's name and API key in the table.
	Name string
	Key  string
	// Share is the relative share of all requests.
	Share float64
}

// Mix describes the requests of a load and the accounts that send them. It is read
// from YAML under the names of its fields.
type Mix struct {
	// Model is the model that requests ask for.
	Model string
	// Classes and Accounts are drawn independently.
	Classes  []Class
	Accounts []Account
	// Patience is how long an attempt waits for the first token of a model or for the
	// whole answer of a service; 0 = until the deadline.
	Patience time.Duration
	// Retries is how often a caller sends a request again that got no whole answer.
	Retries int
	// HonourRetryAfter makes refused callers wait as long as the Retry-After header says.
	HonourRetryAfter bool
}

// Means returns the expected lengths of the unshared prompt, the shared prefix and the
// answer of a request to the model, in tokens.
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
	// At is when the request is sent, from the start of the plan.
	At time.Duration
	// Account and Key identify the caller.
	Account string
	Key     string
	// Class is the kind of request.
	Class Class
	// Prompt is the text of the prompt, unique to the request. Digest is its digest,
	// which every token of the answer contains.
	Prompt string
	Digest string
	// MaxTokens is the length of the answer, in tokens.
	MaxTokens int
}

// Plan is a seeded sequence of requests, ordered by time to within 10ms.
type Plan struct {
	Mix      Mix
	Requests []Request
}

// Rate returns the requests per second at a time of the plan.
type Rate func(at time.Duration) float64

// Constant returns a rate that does not change.
func Constant(perSecond float64) Rate {
	return func(time.Duration) float64 { return perSecond }
}

// NewPlan draws Poisson arrivals, approximated in steps of 10ms, for a duration. Equal
// arguments give equal plans.
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

// drawRequest draws the class, the account and the lengths of request n of a plan and
// makes its prompt.
func drawRequest(mix Mix, at time.Duration, rng *rand.Rand, seed int64, n int) Request {
	class := mix.Classes[pickWeighted(rng, len(mix.Classes), func(i int) float64 { return mix.Classes[i].Share })]
	account := mix.Accounts[pickWeighted(rng, len(mix.Accounts), func(i int) float64 { return mix.Accounts[i].Share })]
	r := Request{At: at, Account: account.Name, Key: account.Key, Class: class, MaxTokens: class.Tokens.pick(rng)}
	own := class.Prompt.pick(rng)
	prefix := ""
	if class.Prefixes > 0 {
		prefix = fillerText(fmt.Sprintf("%s %s site log %d. ", account.Name, class.Tier, rng.Intn(class.Prefixes)), class.PrefixTokens)
	}
	r.Prompt = prefix + fillerText(fmt.Sprintf("request %d of plan %d. ", n, seed), own)
	r.Digest = digest(r.Prompt)
	return r
}

// pickWeighted draws an index below n with a probability in proportion to its share.
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

// fillerText repeats a phrase up to a length in tokens, but at least once.
func fillerText(phrase string, tokens int) string {
	size := max(tokens*bytesPerToken, len(phrase))
	return strings.Repeat(phrase, size/len(phrase)+1)[:size]
}

// digest returns the digest that the fake engine puts into the answer to a prompt; see
// engine.Content.
func digest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:4])
}
