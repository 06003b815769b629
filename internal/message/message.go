// Package message defines the messages that processes of the router fleet exchange, and their MessagePack form. Package transport
// carries them, over HTTP between machines and in frames over loopback.
//
// Processes of two versions run beside one another during an upgrade. So a field keeps its key (the msgpack tag) and its meaning for
// good, a new field is optional for the receiver, and a key that is not known is skipped. The bytes are pinned by the golden files
// under testdata/wire.
package message

// FormatVersion is sent with each Gossip message. A receiver rejects other versions.
const FormatVersion = 1
