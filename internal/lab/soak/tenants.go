package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// keyMarker begins each key, so that a key is recognized wherever it shows.
const keyMarker = "soak-key-"

// tenantNames are the tenants of each configuration. Each has one key for good and some that come and go.
var tenantNames = []string{"acme", "bolt", "corp"}

const (
	// maxChangingKeys bounds the keys that come and go and are configured at a time.
	maxChangingKeys = 6
	// recentlyWithdrawn is how many of the keys that were taken away last clients go on using.
	recentlyWithdrawn = 4
)

// apiKey is one key with its history. keyring.mu guards the fields that change.
type apiKey struct {
	text             string
	isPermanent      bool      // it is in each configuration
	owners           []string  // the tenants that have ever held it, the present one last
	addedAt          time.Time // when the configuration that added it was confirmed; zero before
	withdrawalSentAt time.Time // when the change that takes it away was sent first; zero: none was
	withdrawnAt      time.Time // when that change was confirmed; zero before
}

// keyring is the keys of all tenants, as the operator has configured them. It is safe for concurrent use.
type keyring struct {
	mu        sync.Mutex         // guards the fields below
	limited   map[string]*apiKey // of the limited tenants, by tenant; not changed
	permanent []*apiKey
	changing  []*apiKey // configured, or being added or taken away
	withdrawn []*apiKey // that were taken away, the last one last
	byText    map[string]*apiKey
	issued    int
	pending   keyChange // the change that is sent and not confirmed
}

// keyChange is the change of one configuration. At most one of its fields is set.
type keyChange struct {
	added, withdrawn, passedOn *apiKey
}

// newKeyring returns the keys of the first configuration.
func newKeyring() *keyring {
	k := &keyring{byText: map[string]*apiKey{}, limited: map[string]*apiKey{}}
	for _, tenant := range tenantNames {
		k.permanent = append(k.permanent, k.issue(tenant, true))
	}
	for _, tenant := range limitedTenantNames {
		k.limited[tenant] = k.issue(tenant, true)
	}
	return k
}

// issue makes a key of a tenant. The caller holds mu, or is the only user.
func (k *keyring) issue(tenant string, isPermanent bool) *apiKey {
	k.issued++
	key := &apiKey{text: fmt.Sprintf("%s%d-%016x", keyMarker, k.issued, rand.Uint64()), isPermanent: isPermanent, owners: []string{tenant}}
	k.byText[key.text] = key
	return key
}

// prepareChange draws the change of the next configuration: a key is added, taken away, passed on to another tenant, or none of it. It returns the
// tenants of that configuration.
func (k *keyring) prepareChange(rng *rand.Rand) []configuredTenant {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = keyChange{}
	switch draw := rng.IntN(6); {
	case draw < 2 && len(k.changing) < maxChangingKeys:
		k.pending.added = k.issue(tenantNames[rng.IntN(len(tenantNames))], false)
		k.changing = append(k.changing, k.pending.added)
	case draw < 4 && len(k.changing) > 0:
		k.pending.withdrawn = k.changing[rng.IntN(len(k.changing))]
		k.pending.withdrawn.withdrawalSentAt = time.Now()
	case draw < 5 && len(k.changing) > 0:
		k.pending.passedOn = k.changing[rng.IntN(len(k.changing))]
		k.pending.passedOn.owners = append(k.pending.passedOn.owners, tenantNames[rng.IntN(len(tenantNames))])
	}
	return k.configured()
}

// configured returns the tenants of the configuration with the pending change. The caller holds mu.
func (k *keyring) configured() []configuredTenant {
	tenants := make([]configuredTenant, len(tenantNames))
	for i, name := range tenantNames {
		tenants[i] = configuredTenant{Name: name, Priority: i, APIKeys: []string{k.permanent[i].text}}
	}
	for _, key := range k.changing {
		if key != k.pending.withdrawn {
			i := slices.Index(tenantNames, key.owners[len(key.owners)-1])
			tenants[i].APIKeys = append(tenants[i].APIKeys, key.text)
		}
	}
	for _, name := range limitedTenantNames {
		tenants = append(tenants, newLimitedTenant(name, k.limited[name]))
	}
	return tenants
}

// confirm notes that the pending change is confirmed.
func (k *keyring) confirm() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, key := range slices.Concat(k.permanent, slices.Collect(maps.Values(k.limited)), []*apiKey{k.pending.added}) {
		if key != nil && key.addedAt.IsZero() {
			key.addedAt = now
		}
	}
	if key := k.pending.withdrawn; key != nil {
		key.withdrawnAt = now
		k.changing = slices.DeleteFunc(k.changing, func(other *apiKey) bool { return other == key })
		k.withdrawn = append(k.withdrawn, key)
	}
	k.pending = keyChange{}
}

// draw returns the text of a key for a request: mostly one that is configured, also one that was taken away, one that never was configured, or none.
func (k *keyring) draw(rng *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	draw := rng.Float64()
	switch recent := k.withdrawn[max(len(k.withdrawn)-recentlyWithdrawn, 0):]; {
	case draw < 0.03:
		return ""
	case draw < 0.06:
		return fmt.Sprintf("%sunknown-%016x", keyMarker, rng.Uint64())
	case draw < 0.15 && len(recent) > 0:
		return recent[rng.IntN(len(recent))].text
	case draw < 0.45 && len(k.changing) > 0:
		return k.changing[rng.IntN(len(k.changing))].text
	default:
		return k.permanent[rng.IntN(len(k.permanent))].text
	}
}

// keyValidity is what is known of a key for the time of a request.
type keyValidity int

// The validities.
const (
	keyUnknown   keyValidity = iota // it was never sent in a configuration, or there is none
	keyWithdrawn                    // it was taken away longer than a configuration needs to be in force everywhere
	keyChanging                     // it is being added or taken away: it may count or not
	keyValid                        // it has counted everywhere all the time
)

// validity returns what is known of a key for a request that was sent and has ended at these times.
func (k *keyring) validity(text string, sentAt, endedAt time.Time) keyValidity {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := k.byText[text]
	inForceAfter := durationOfSeconds(configApplySeconds) + busyMachineSlack
	switch {
	case key == nil:
		return keyUnknown
	case key.isPermanent:
		return keyValid
	case !key.withdrawnAt.IsZero() && sentAt.Sub(key.withdrawnAt) > inForceAfter:
		return keyWithdrawn
	case key.addedAt.IsZero() || sentAt.Sub(key.addedAt) <= inForceAfter || !key.withdrawalSentAt.IsZero() && endedAt.After(key.withdrawalSentAt):
		return keyChanging
	default:
		return keyValid
	}
}

// isPermanent reports whether a key is in each configuration.
func (k *keyring) isPermanent(text string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := k.byText[text]
	return key != nil && key.isPermanent
}

// isOwner reports whether a tenant has ever held a key.
func (k *keyring) isOwner(text, tenant string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := k.byText[text]
	return key != nil && slices.Contains(key.owners, tenant)
}

// owner returns the tenant that holds a key, empty if none does.
func (k *keyring) owner(text string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := k.byText[text]
	if key == nil {
		return ""
	}
	return key.owners[len(key.owners)-1]
}
