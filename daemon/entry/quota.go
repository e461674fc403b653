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
	quotaLease           = 2 * time.Second        // of a lease that the home of an account grants to an entry
	quotaRenewalInterval = 800 * time.Millisecond // between renewals of a lease; also the timeout of one renewal
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

// admitWithinQuota charges a call to its account. If the account is over a limit, it
// refuses the call and returns false.
func (c *control) admitWithinQuota(now time.Duration, k *call) bool {
	entries := len(c.entry.config.Members().Entries())
	tokens := float64(k.request.PromptTokens) + float64(expectedTokens(k))
	verdict := c.quotaClient.Admit(now, k.account.Name, limits(k.account), entries, tokens)
	if verdict.OK {
		k.chargedTokens = tokens
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

// refundUnused refunds the tokens that a call was charged for and did not use, and ends
// its part of the account's concurrency.
func (c *control) refundUnused(now time.Duration, k *call) {
	refund := 0.0
	used := k.usage.Load()
	switch {
	case used != nil:
		refund = k.chargedTokens - float64(used.prefill) - float64(used.cached) - float64(used.generated)
	case k.machine.Outcome() == request.OutcomeNotRun:
		refund = k.chargedTokens
	}
	c.quotaClient.Done(now, k.account.Name, refund)
}

// renewQuotas requests leases that are due for the accounts in use. The home of an
// account is the entry that rendezvous hashing selects; it divides the account's limits
// among the entries.
func (c *control) renewQuotas(now time.Duration) {
	c.quotaHome.Sweep(now)
	leaseRequests := c.quotaClient.DueLeaseRequests(now, c.entry.limitsOf)
	if len(leaseRequests) == 0 {
		return
	}
	entries := c.entry.config.Members().Entries()
	for _, req := range leaseRequests {
		c.requestLease(now, req, entries)
	}
}

// requestLease requests one lease from the home of the account, which may be this entry.
func (c *control) requestLease(now time.Duration, req quota.LeaseRequest, entries []membership.Instance) {
	e := c.entry
	home := e.config.ID
	address := e.InternalAddress()
	if ordered := membership.Rendezvous(req.Account, entries); len(ordered) > 0 {
		home, address = ordered[0].ID, ordered[0].Address
	}
	if home == e.config.ID {
		c.quotaClient.Granted(req.Account, c.quotaHome.Grant(now, req.Account, e.config.ID, req.Demand, e.limitsOf(req.Account)))
		return
	}
	e.background(func() { e.queryAllowance(address, req) })
}

// allowanceReplied is the reply of an account's home to a request for a lease; ok is
// false if it gave none.
type allowanceReplied struct {
	account string
	lease   quota.Lease
	ok      bool
}

func (m allowanceReplied) handle(c *control, _ time.Duration) {
	if m.ok {
		c.quotaClient.Granted(m.account, m.lease)
		return
	}
	c.quotaClient.Failed(m.account)
}

// queryAllowance requests a lease from the home of an account at another entry.
func (e *Entry) queryAllowance(address string, req quota.LeaseRequest) {
	ctx, cancel := context.WithTimeout(e.baseContext, quotaRenewalInterval)
	defer cancel()
	reply, err := e.client.Entry(address).Allowance(ctx, &nodepb.AllowanceRequest{
		Entry:       e.config.ID,
		Account:     req.Account,
		Requests:    req.Demand.Requests,
		Tokens:      req.Demand.Tokens,
		Concurrency: uint32(req.Demand.Concurrency),
	})
	m := allowanceReplied{account: req.Account}
	if err == nil && reply.Home {
		m.ok = true
		m.lease = quota.Lease{
			Amounts: quota.Amounts{Requests: reply.Requests, Tokens: reply.Tokens, Concurrency: int(reply.Concurrency)},
			Length:  time.Duration(reply.LeaseMs) * time.Millisecond,
		}
	}
	e.post(m)
}

// allowanceQuery is another entry's request for a lease from this one. The reply says
// so if this entry is not the account's home.
type allowanceQuery struct {
	request *nodepb.AllowanceRequest
	reply   chan *nodepb.AllowanceReply
}

func (m allowanceQuery) handle(c *control, now time.Duration) {
	e := c.entry
	ordered := membership.Rendezvous(m.request.Account, e.config.Members().Entries())
	if len(ordered) > 0 && ordered[0].ID != e.config.ID {
		m.reply <- &nodepb.AllowanceReply{Home: false}
		return
	}
	demand := quota.Amounts{Requests: m.request.Requests, Tokens: m.request.Tokens, Concurrency: int(m.request.Concurrency)}
	lease := c.quotaHome.Grant(now, m.request.Account, m.request.Entry, demand, e.limitsOf(m.request.Account))
	m.reply <- &nodepb.AllowanceReply{
		Home:        true,
		Requests:    lease.Requests,
		Tokens:      lease.Tokens,
		Concurrency: uint32(lease.Concurrency),
		LeaseMs:     lease.Length.Milliseconds(),
	}
}

// Allowance implements nodepb.Entry.
func (s *nodeService) Allowance(ctx context.Context, req *nodepb.AllowanceRequest) (*nodepb.AllowanceReply, error) {
	m := allowanceQuery{request: req, reply: make(chan *nodepb.AllowanceReply, 1)}
	s.entry.post(m)
	select {
	case reply := <-m.reply:
		return reply, nil
	case <-ctx.Done():
	case <-s.entry.stopped:
	}
	return nil, twirp.NewError(twirp.Unavailable, "the entry does not answer")
}
