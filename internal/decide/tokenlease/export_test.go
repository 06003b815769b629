package tokenlease

// Spendable returns the tokens of a tenant that the lessee can still spend, including those reserved for requests.
func (l *Lessee) Spendable(now float64, tenant string) (sum int64) {
	funds := l.byTenant[tenant]
	if funds == nil {
		return 0
	}
	for _, entry := range funds.leases {
		if !entry.hasEnded(now) {
			sum += entry.balance() + entry.reserved
		}
	}
	return sum
}

// Grantable returns the tokens of a tenant that the lessor can still grant.
func (l *Lessor) Grantable(now float64, tenant string, limit Limit) float64 {
	return l.refilled(now, tenant, limit).available
}
