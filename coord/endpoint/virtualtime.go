package endpoint

// virtualTimes implements start-time fair queueing between the client accounts of
// each tier. An account's virtual time advances by the cost of its grants divided
// by its weight, and the account with the lowest one is served first. An account
// that was idle starts at the tier's virtual time, so that it cannot accumulate
// credit while it is idle.
type virtualTimes struct {
	accounts map[virtualTimeKey]float64
	tiers    map[int]float64
}

type virtualTimeKey struct {
	rank    int
	account string
}

// maxVirtualTimes is the number of accounts, counted once per tier, above which those
// that are not ahead of their tier's virtual time are removed. Without a stored time an
// account starts at the tier's virtual time, so that removal changes no order.
const maxVirtualTimes = 4096

func newVirtualTimes() virtualTimes {
	return virtualTimes{accounts: map[virtualTimeKey]float64{}, tiers: map[int]float64{}}
}

// startOf returns the virtual time at which the reservation's service would start.
func (v *virtualTimes) startOf(r *reservation) float64 {
	return max(v.accounts[virtualTimeKey{r.Rank, r.Account}], v.tiers[r.Rank])
}

// charge advances virtual time by the expected cost of a granted reservation.
func (v *virtualTimes) charge(r *reservation) {
	start := v.startOf(r)
	v.tiers[r.Rank] = start
	v.accounts[virtualTimeKey{r.Rank, r.Account}] = start + r.Cost.Seconds()/r.Weight
	if len(v.accounts) > maxVirtualTimes {
		v.prune()
	}
}

// refund reverses the charge of a grant that was not used.
func (v *virtualTimes) refund(r *reservation) {
	key := virtualTimeKey{r.Rank, r.Account}
	if at, known := v.accounts[key]; known {
		v.accounts[key] = at - r.Cost.Seconds()/r.Weight
	}
}

// prune removes the accounts that are not ahead of their tier's virtual time.
func (v *virtualTimes) prune() {
	for key, at := range v.accounts {
		if at <= v.tiers[key.rank] {
			delete(v.accounts, key)
		}
	}
}
