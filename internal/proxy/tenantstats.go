package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// maxLoggedTenants bounds the number of tenants that are logged each time. Those with the most tokens are logged.
const maxLoggedTenants = 4

// tenantCounts counts the requests and tokens of a tenant, and the executions of its requests.
type tenantCounts struct {
	Requests   int // admitted
	Tokens     int // of these requests, as declared by the clients
	Executions int // attempts that a server may have executed
}

// countAdmitted counts a request that is admitted for a tenant.
func (s *requestStats) countAdmitted(req *proxyRequest) {
	if req.tenant == nil {
		return
	}
	prompt := promptFromRequest(req.incoming, req.route)
	s.tenants.update(req.tenant.Name, func(counts *tenantCounts) {
		counts.Requests++
		counts.Tokens += prompt.Tokens + prompt.MaxOutputTokens
	})
}

// countExecution counts an attempt that a server may have executed.
func (s *requestStats) countExecution(req *proxyRequest) {
	if req.tenant != nil {
		s.tenants.update(req.tenant.Name, func(counts *tenantCounts) { counts.Executions++ })
	}
}

// logTenants logs the requests and tokens of the tenants with the most tokens, and how often their requests may have been executed.
func (p *Proxy) logTenants(now time.Time) {
	counts := p.stats.tenants.takeDue(now)
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b].Tokens, counts[a].Tokens), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxLoggedTenants)] {
		p.log.WithFields(logrus.Fields{"tenant": name, "requests": counts[name].Requests, "tokens": counts[name].Tokens,
			"executions": counts[name].Executions}).Info("requests of tenant")
	}
}
