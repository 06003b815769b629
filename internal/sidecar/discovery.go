package sidecar

// discovery is where the endpoint list comes from, and how recent it is.
type discovery struct {
	watcher       *watcher // nil: there is no watch of the sidecar's own
	relay         listRelay
	listReadAt    float64 // when anything was last read from discovery, or a relay confirmed the list
	isListRead    bool    // a list has been read
	lastListError string  // of discovery's last object, which was malformed; empty: it was not
}

// isWatchUp reports whether the policy counts a watch as up: the sidecar's own, or a relay in its place.
func (d *discovery) isWatchUp() bool {
	return d.relay.isActive || d.watcher != nil && d.watcher.isUp
}
