package control

import (
	"slices"
	"time"

	"hazelwheel/internal/decide/register"
)

const (
	// maxKeptConfigs bounds the configurations in snapshots, and those in memory that no process is fetching.
	maxKeptConfigs = 2
	// maxCachedConfigs bounds the configurations in memory.
	maxCachedConfigs = 5
	// requestedRetention is the time for which an older configuration stays in memory after the last request for a chunk of it.
	requestedRetention = 3 * time.Second
)

// cachedConfig is a configuration in memory.
type cachedConfig struct {
	digest      register.Digest
	data        []byte
	requestedAt time.Time // when another process last requested a chunk, zero if none has
}

// cacheConfig adds a configuration as the newest one and evicts older ones beyond the limits. Danger: the configuration of the accepted
// value must never be evicted, so it has to be the one added last. Older ones stay while another process fetches them: a new process on a
// slow link would have to start over with each change of the configuration. The caller holds mu, or is the only user of the replica.
func (r *replica) cacheConfig(digest register.Digest, data []byte) {
	r.configs = slices.DeleteFunc(r.configs, func(c cachedConfig) bool { return c.digest == digest })
	r.configs = append(r.configs, cachedConfig{digest: digest, data: data})
	now := time.Now()
	for i := 0; i < len(r.configs)-maxKeptConfigs; {
		if now.Sub(r.configs[i].requestedAt) <= requestedRetention && len(r.configs) <= maxCachedConfigs {
			i++
			continue
		}
		r.configs = slices.Delete(r.configs, i, i+1)
	}
}

// configBytes returns a configuration's bytes, or nil if they are not in memory. The caller must not change them.
func (r *replica) configBytes(digest register.Digest) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.configIndex(digest); i >= 0 {
		return r.configs[i].data
	}
	return nil
}

// serveConfig is configBytes for a request of another process. It defers the eviction of the configuration (see requestedRetention).
func (r *replica) serveConfig(digest register.Digest) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.configIndex(digest)
	if i < 0 {
		return nil
	}
	r.configs[i].requestedAt = time.Now()
	return r.configs[i].data
}

// configIndex returns the index of a configuration, or -1 if it is not in memory. The caller holds mu.
func (r *replica) configIndex(digest register.Digest) int {
	return slices.IndexFunc(r.configs, func(c cachedConfig) bool { return c.digest == digest })
}
