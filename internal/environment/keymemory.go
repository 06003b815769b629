package environment

// keyMemory holds the idempotency keys that the servers of a site have seen: a repeat within the window is dropped.
type keyMemory struct {
	seen  map[string]float64 // start of a key's first execution; looked up, never walked
	order []seenKey          // by time, for expiry
}

type seenKey struct {
	key string
	at  float64
}

// isRepeat reports whether a key was seen in the window before now, and records it if not.
func (m *keyMemory) isRepeat(key string, now, windowSeconds float64) bool {
	for len(m.order) > 0 && m.order[0].at < now-windowSeconds {
		delete(m.seen, m.order[0].key)
		m.order = m.order[1:]
	}
	if _, ok := m.seen[key]; ok {
		return true
	}
	if m.seen == nil {
		m.seen = map[string]float64{}
	}
	m.seen[key] = now
	m.order = append(m.order, seenKey{key, now})
	return false
}
