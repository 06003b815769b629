package thrift

// compactTypes are the types by their numbers in the compact protocol, in which 1 and 2 are true and false.
var compactTypes = [16]Type{0, Bool, Bool, Byte, I16, I32, I64, Double, String, List, Set, Map, Struct, UUID, invalidType, invalidType}

// invalidType marks the numbers without a type.
const invalidType Type = 0xff

// Encoding is a protocol in which messages are written.
type Encoding uint8

// The protocols. Binary is the strict form of the binary protocol, OldBinary the one whose messages have no version.
const (
	Binary Encoding = iota
	OldBinary
	Compact
)

// String returns the protocol's name.
func (e Encoding) String() string { return [...]string{"binary", "old binary", "compact"}[e] }

// Kind is the kind of a message, as the protocols number them.
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

// The types. Stop marks the end of a struct's fields.
const (
	Stop   Type = 0
	Bool   Type = 2
	Byte   Type = 3
	Double Type = 4
	I16    Type = 6
	I32    Type = 8
	I64    Type = 10
	String Type = 11 // also binary
	Struct Type = 12
	Map    Type = 13
	Set    Type = 14
	List   Type = 15
	UUID   Type = 16
)

// minSizes are the sizes of the shortest values in bytes, by encoding and type; 0: no such type.
var minSizes = [...][17]int8{
	Binary:    {Bool: 1, Byte: 1, Double: 8, I16: 2, I32: 4, I64: 8, String: 4, Struct: 1, Map: 6, Set: 5, List: 5, UUID: 16},
	OldBinary: {Bool: 1, Byte: 1, Double: 8, I16: 2, I32: 4, I64: 8, String: 4, Struct: 1, Map: 6, Set: 5, List: 5, UUID: 16},
	Compact:   {Bool: 1, Byte: 1, Double: 8, I16: 1, I32: 1, I64: 1, String: 1, Struct: 1, Map: 1, Set: 1, List: 1, UUID: 16},
}

// minSize returns the size of the shortest value in bytes; 0 for an unknown type. It bounds the number of elements that a
// container can have.
func (t Type) minSize(e Encoding) int {
	if int(t) >= len(minSizes[e]) {
		return 0
	}
	return int(minSizes[e][t])
}

// MaxDepth is how deep values may be nested, with the message's struct counted: the limit of the Apache libraries.
const MaxDepth = 64

// compactTypeNumber returns a type's number in the compact protocol; for Bool that of true.
func compactTypeNumber(t Type) byte {
	for n := range byte(14) {
		if compactTypes[n] == t {
			return n
		}
	}
	return 0
}
