package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/quota"
	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	quotaLease   = 2 * time.Second
	quotaRenewal = 800 * time.Millisecond
)

// limitsOf returns the limits of an account in the table in force.
func (e *Entry) limitsOf(account string) quota.Amounts {
	t := e.config.Table()
	if t == nil {
		return quota.Amounts{}
	}
	row := t.Accounts[account]
	return limits(row)
}

func limits(row table.Account) quota.Amounts {
	return quota.Amounts{Requests: row.RequestsPerSecond, Tokens: row.TokensPerSecond, Concurrency: row.Concurrency}
}

// admitWithinQuota charges a call to its account, or ends it.
func (c *control) admitWithinQuota(now time.Duration, k *call) bool {
	entries := len(c.entry.config.Members().Entries())
	tokens := float64(k.request.PromptTokens) + float64(expectedTokens(k))
	verdict := c.quota.Admit(now, k.account.Name, limits(k.account), entries, tokens)
	if verdict.OK {
		k.charged = tokens
		return true
	}
	c.finish(now, k, request.Refuse{
		Status:     http.StatusTooManyRequests,
		Outcome:    request.OutcomeNotRun,
		Reason:     "the account is over its limit of " + verdict.Reason,
		RetryAfter: verdict.RetryAfter,
	})
	return false
}

// settle gives back what a call was charged and did not use.
func (c *control) settle(now time.Duration, k *call) {
	refund := 0.0
	used := k.used.Load()
	switch {
	case used != nil:
		refund = k.charged - float64(used.prefill) - float64(used.cached) - float64(used.generated)
	case k.machine.Outcome() == request.OutcomeNotRun:
		refund = k.charged
	}
	c.quota.Done(now, k.account.Name, refund)
}

// renewQuotas asks the homes of the accounts in use for leases.
func (c *control) renewQuotas(now time.Duration) {
	c.home.Sweep(now)
	asks := c.quota.DueLeaseRequests(now, c.entry.limitsOf)
	if len(asks) == 0 {
		return
	}
	entries := c.entry.config.Members().Entries()
	for _, ask := range asks {
		c.askHome(now, ask, entries)
	}
}

func (c *control) askHome(now time.Duration, ask quota.LeaseRequest, entries []membership.Instance) {
	e := c.entry
	home := e.config.ID
	address := e.InternalAddress()
	if ordered := membership.Rendezvous(ask.Account, entries); len(ordered) > 0 {
		home, address = ordered[0].ID, ordered[0].Address
	}
	if home == e.config.ID {
		c.quota.Granted(ask.Account, c.home.Grant(now, ask.Account, e.config.ID, ask.Demand, e.limitsOf(ask.Account)))
		return
	}
	e.background(func() { e.askAllowance(address, ask) })
}

// allowed brings a home's answer; ok is false when there was none.
type allowed struct {
	account string
	lease   quota.Lease
	ok      bool
}

func (m allowed) handle(c *control, _ time.Duration) {
	if m.ok {
		c.quota.Granted(m.account, m.lease)
		return
	}
	c.quota.Failed(m.account)
}

func (e *Entry) askAllowance(address string, ask quota.LeaseRequest) {
	ctx, cancel := context.WithTimeout(e.base, quotaRenewal)
	defer cancel()
	reply, err := e.client.Entry(address).Allowance(ctx, &nodepb.AllowanceRequest{
		Entry:       e.config.ID,
		Account:     ask.Account,
		Requests:    ask.Demand.Requests,
		Tokens:      ask.Demand.Tokens,
		Concurrency: uint32(ask.Demand.Concurrency),
	})
	m := allowed{account: ask.Account}
	if err == nil && reply.Home {
		m.ok = true
		m.lease = quota.Lease{
			Amounts: quota.Amounts{Requests: reply.Requests, Tokens: reply.Tokens, Concurrency: int(reply.Concurrency)},
			Length:  time.Duration(reply.LeaseMs) * time.Millisecond,
		}
	}
	e.post(m)
}

// allowanceAsked is another entry's question about an account whose home is here.
type allowanceAsked struct {
	ask   *nodepb.AllowanceRequest
	reply chan *nodepb.AllowanceReply
}

func (m allowanceAsked) handle(c *control, now time.Duration) {
	e := c.entry
	ordered := membership.Rendezvous(m.ask.Account, e.config.Members().Entries())
	if len(ordered) > 0 && ordered[0].ID != e.config.ID {
		m.reply <- &nodepb.AllowanceReply{Home: false}
		return
	}
	want := quota.Amounts{Requests: m.ask.Requests, Tokens: m.ask.Tokens, Concurrency: int(m.ask.Concurrency)}
	lease := c.home.Grant(now, m.ask.Account, m.ask.Entry, want, e.limitsOf(m.ask.Account))
	m.reply <- &nodepb.AllowanceReply{
		Home:        true,
		Requests:    lease.Requests,
		Tokens:      lease.Tokens,
		Concurrency: uint32(lease.Concurrency),
		LeaseMs:     lease.Length.Milliseconds(),
	}
}

// Allowance implements nodepb.Entry.
func (s *nodeService) Allowance(ctx context.Context, ask *nodepb.AllowanceRequest) (*nodepb.AllowanceReply, error) {
	m := allowanceAsked{ask: ask, reply: make(chan *nodepb.AllowanceReply, 1)}
	s.entry.post(m)
	select {
	case reply := <-m.reply:
		return reply, nil
	case <-ctx.Done():
	case <-s.entry.stopped:
	}
	return nil, twirp.NewError(twirp.Unavailable, "the entry does not answer")
}
