package thrift

// Error is the reason why bytes are not a valid message. The texts are sent to clients in a TApplicationException.
type Error string

// Error implements error.
func (e Error) Error() string { return "thrift: " + string(e) }

// The errors of this package.
const (
	ErrFrameSize      Error = "a frame of no bytes, or of too many"
	ErrProtocol       Error = "neither the binary nor the compact protocol"
	ErrUnknownKind    Error = "a message of no known kind"
	ErrTruncated      Error = "a value that goes on behind the message's end"
	ErrTrailingBytes  Error = "bytes behind the message"
	ErrNegativeSize   Error = "a negative size"
	ErrVarintSize     Error = "a number of more than 10 bytes"
	ErrUnknownType    Error = "a value of no known type"
	ErrTooDeep        Error = "values too deep within each other"
	ErrDuplicateField Error = "a field that is asked for comes twice"
)
