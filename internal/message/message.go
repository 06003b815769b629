// Package message holds what processes of the fleet say to one another. Package transport carries it.
package message

// FormatVersion is told with each message. A receiver turns other versions away.
const FormatVersion = 1
