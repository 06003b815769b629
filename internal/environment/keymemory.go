package environment

// keyMemory is what the boxes of a site remember of keys: a repeat within the window is dropped.
type keyMemory struct {
	seen  map[string]float64 // when a key's first execution began; looked up and swept as a whole
	order []seenKey          // in their order
}

type seenKey struct {
	key string
	at  float64
}

// repeat tells whether a key was seen in the window before now, and notes it if not.
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
