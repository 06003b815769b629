package sidecar

// discovery tracks the source of the endpoint list and how recent it is.
type discovery struct {
	watcher       *watcher // nil if the sidecar has no watch of its own
	relay         listRelay
	listReadAt    float64 // when anything was last read from discovery, or a relay confirmed the list
	isListRead    bool    // a list has been read
	lastListError string  // error of discovery's last object, empty if it was well-formed
}

// isWatchUp reports whether the sidecar's own watch is up, or a relay takes its place.
func (d *discovery) isWatchUp() bool {
	return d.relay.isActive || d.watcher != nil && d.watcher.isUp
}
