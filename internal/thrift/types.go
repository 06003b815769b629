package thrift

// compactTypes maps the type numbers of the compact protocol to types. 1 and 2 both are Bool: true and false.
var compactTypes = [16]Type{0, Bool, Bool, Byte, I16, I32, I64, Double, String, List, Set, Map, Struct, UUID, invalidType, invalidType}

// invalidType marks type numbers that the compact protocol does not define.
const invalidType Type = 0xff

// Encoding is the protocol in which a message is encoded.
type Encoding uint8

// The protocols. Binary is the strict form of the binary protocol, OldBinary the one whose messages have no version.
const (
	Binary Encoding = iota
	OldBinary
	Compact
)

// String returns the protocol's name.
func (e Encoding) String() string { return [...]string{"binary", "old binary", "compact"}[e] }

// Kind is the kind of a message, with its number in all protocols.
type Kind uint8

// The kinds of message.
const (
	Call Kind = iota + 1
	Reply
	Exception
	Oneway
)

// Type is the type of a value, with its number in the binary protocol.
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

// minSizes are the sizes in bytes of the shortest values, by encoding and type; 0: there is no such type.
var minSizes = [...][17]int8{
	Binary:    {Bool: 1, Byte: 1, Double: 8, I16: 2, I32: 4, I64: 8, String: 4, Struct: 1, Map: 6, Set: 5, List: 5, UUID: 16},
	OldBinary: {Bool: 1, Byte: 1, Double: 8, I16: 2, I32: 4, I64: 8, String: 4, Struct: 1, Map: 6, Set: 5, List: 5, UUID: 16},
	Compact:   {Bool: 1, Byte: 1, Double: 8, I16: 1, I32: 1, I64: 1, String: 1, Struct: 1, Map: 1, Set: 1, List: 1, UUID: 16},
}

// minSize returns the size of the shortest value in bytes; 0 for an unknown type. It limits the number of elements that a
// container can have.
func (t Type) minSize(e Encoding) int {
	if int(t) >= len(minSizes[e]) {
		return 0
	}
	return int(minSizes[e][t])
}

// MaxDepth limits how deep values may be nested, including the message's struct. The Apache libraries have the same limit.
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
