// Package coordination has a sidecar know the others of its fleet: it drives the decisions about who is there over the links to
// peers, keeps the identity on disk, and tells the core its place. Serving never waits for it; with all peers gone the core
// goes by its settings. It belongs to the core's loop.
package coordination
