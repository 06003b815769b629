package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// The limited tenants: one whose clients press far beyond its limit at each proxy, and one whose client stays below it and uses one proxy at a time.
const (
	exceedingTenant = "over"
	moderateTenant  = "under"
)

var limitedTenantNames = []string{exceedingTenant, moderateTenant}

// The limit of each limited tenant, in tokens, and what the fleet's settings allow beyond it.
const (
	limitTokensPerSecond = 2000
	limitBurstTokens     = 2000
	plainRequestTokens   = 100 // of a request without Hazelwheel-Token-Counts, as all of limited tenants are
	limitWindow          = 8 * time.Second
	limitOverage         = 0.1
	limitSlackTokens     = 4000
)

// The mean pauses between two requests of a client. On each machine the exceeding tenant asks for more than its limit; the moderate one asks for half
// of its limit in all.
const (
	exceedingPause = 15 * time.Millisecond
	moderatePause  = 100 * time.Millisecond
)

// limitedLoad is one client of a limited tenant.
type limitedLoad struct {
	tenant  string
	machine *machine // to which it sends; nil: to a drawn one, until a request fails
	pause   time.Duration
}

// limitedLoads returns the clients of the limited tenants, for machines with a proxy.
func limitedLoads(machines []*machine) []limitedLoad {
	loads := []limitedLoad{{moderateTenant, nil, moderatePause}}
	for _, m := range machines {
		loads = append(loads, limitedLoad{exceedingTenant, m, exceedingPause})
	}
	return loads
}

// newLimitedTenant returns a limited tenant with its key, as it is configured.
func newLimitedTenant(name string, key *apiKey) configuredTenant {
	return configuredTenant{Name: name, APIKeys: []string{key.text}, Unit: "token_stream", PlainTokens: plainRequestTokens,
		RatePerS: limitTokensPerSecond, Burst: limitBurstTokens}
}

// runLimited is one client of a limited tenant: it sends requests until ctx ends.
func (c *clients) runLimited(ctx context.Context, seed uint64, load limitedLoad) {
	sender := &client{clients: c, rng: rand.New(rand.NewPCG(seed, 6)), limited: &load}
	sender.switchMachine()
	for ctx.Err() == nil {
		sender.sendRequest(ctx)
		sleep(ctx, time.Duration(sender.rng.ExpFloat64()*float64(load.pause)))
	}
	sender.httpClient.CloseIdleConnections()
}
