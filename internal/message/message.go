// Package message defines the messages that processes of the router fleet exchange, and their MessagePack encoding. Package transport sends
// them, over HTTP between machines and in frames over loopback.
//
// Processes of two versions run side by side during an upgrade. So the key (the msgpack tag) and the meaning of a field never change, a new
// field is optional for the receiver, and unknown keys are skipped. The golden files under testdata/wire pin the encoding.
package message

// FormatVersion is sent with each Gossip message. A receiver rejects other versions.
const FormatVersion = 1
