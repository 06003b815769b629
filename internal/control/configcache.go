package control

import (
	"slices"
	"time"

	"hazelwheel/internal/decide/register"
)

type cachedConfig struct {
	digest      register.Digest
	data        []byte
	requestedAt time.Time // when a piece of it was asked for last
}

// keep holds a configuration's bytes. Danger: those of the accepted value must never give way, so they are the newest. Those before
// stay while somebody fetches them: a newcomer on a slow link would else lose what has come of them with each change.
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

// config returns a configuration's bytes, nil if they aren't here.
func (r *replica) configBytes(digest register.Digest) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.configIndex(digest); i >= 0 {
		return r.configs[i].data
	}
	return nil
}

// lend returns a configuration's bytes for another process, which may come for more of them.
func (r *replica) lendConfig(digest register.Digest) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.configIndex(digest)
	if i < 0 {
		return nil
	}
	r.configs[i].requestedAt = time.Now()
	return r.configs[i].data
}

// find returns the place of a configuration, -1 if it isn't here. It is for who holds mu.
func (r *replica) configIndex(digest register.Digest) int {
	return slices.IndexFunc(r.configs, func(c cachedConfig) bool { return c.digest == digest })
}
