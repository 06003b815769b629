package thrift

// ExceptionType is the type of a TApplicationException.
type ExceptionType int32

// The types of a TApplicationException. The Apache libraries define those up to 10; the last two are common extensions.
const (
	UnknownException  ExceptionType = 0
	UnknownMethod     ExceptionType = 1
	InvalidKind       ExceptionType = 2
	WrongMethodName   ExceptionType = 3
	BadSequence       ExceptionType = 4
	MissingResult     ExceptionType = 5
	InternalError     ExceptionType = 6
	ProtocolError     ExceptionType = 7
	LoadShedding      ExceptionType = 11
	TimedOutException ExceptionType = 12
)

// AppendException appends a framed reply that is a TApplicationException.
func AppendException(dst []byte, enc Encoding, name string, seq int32, exceptionType ExceptionType, text string) []byte {
	var w Writer
	w.BeginMessage(dst, enc, Exception, name, seq)
	w.FieldHeader(String, 1)
	w.String(text)
	w.FieldHeader(I32, 2)
	w.I32(int32(exceptionType))
	return w.EndMessage()
}

// exceptionPaths are the fields of a TApplicationException: its text and its type.
var exceptionPaths = []Path{{1}, {2}}

// DecodeException decodes a TApplicationException. The text refers to the message's bytes.
func (m *Message) DecodeException() (exceptionType ExceptionType, text []byte, err error) {
	var found [MaxPaths]Value
	if err = m.Find(exceptionPaths, &found); err != nil {
		return 0, nil, err
	}
	return ExceptionType(found[1].Int), found[0].Bytes, nil
}
