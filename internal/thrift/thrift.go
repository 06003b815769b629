// Package thrift reads and writes framed Thrift messages, in the binary protocol, strict and old, and in the compact one. It
// knows no sockets: bytes are read where they lie, and a message that is read or passed on allocates nothing.
package thrift

// Encoding is how values are written.
type Encoding uint8

// The encodings. Binary is the strict form, OldBinary the one whose messages name no version.
const (
	Binary Encoding = iota
	OldBinary
	Compact
)

func (e Encoding) String() string { return [...]string{"binary", "old binary", "compact"}[e] }

// Kind is what a message is.
type Kind uint8

// The kinds of message.
const (
	Call Kind = iota + 1
	Reply
	Exception
	Oneway
)

// Type is the type of a value, as the binary protocol numbers them.
type Type uint8

// The types. Stop ends a struct's fields.
const (
	Stop   Type = 0
	Bool   Type = 2
	Byte   Type = 3
	Double Type = 4
	I16    Type = 6
	I32    Type = 8
	I64    Type = 10
	String Type = 11 // and binary
	Struct Type = 12
	Map    Type = 13
	Set    Type = 14
	List   Type = 15
	UUID   Type = 16
)

// least is how many bytes a value takes at least, by encoding, so that a container's size can't lie by much.
var minSizes = [...][17]int8{
	Binary:    {Bool: 1, Byte: 1, Double: 8, I16: 2, I32: 4, I64: 8, String: 4, Struct: 1, Map: 6, Set: 5, List: 5, UUID: 16},
	OldBinary: {Bool: 1, Byte: 1, Double: 8, I16: 2, I32: 4, I64: 8, String: 4, Struct: 1, Map: 6, Set: 5, List: 5, UUID: 16},
	Compact:   {Bool: 1, Byte: 1, Double: 8, I16: 1, I32: 1, I64: 1, String: 1, Struct: 1, Map: 1, Set: 1, List: 1, UUID: 16},
}

// least returns how many bytes a value takes at least; 0: there is no such type.
func (t Type) minSize(e Encoding) int {
	if int(t) >= len(minSizes[e]) {
		return 0
	}
	return int(minSizes[e][t])
}

// MostDepth is how deep values may lie within each other, the message's struct counted. It is what the Apache libraries
// skip to.
const MaxDepth = 64

// Error says why bytes are no message.
type Error string

func (e Error) Error() string { return "thrift: " + string(e) }

// The errors.
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

// The types of a TApplicationException. The Apache libraries name those to 10; the last two are what others use.
const (
	UnknownException  = 0
	UnknownMethod     = 1
	InvalidKind       = 2
	WrongMethodName   = 3
	BadSequence       = 4
	MissingResult     = 5
	InternalError     = 6
	ProtocolError     = 7
	LoadShedding      = 11
	TimedOutException = 12
)
