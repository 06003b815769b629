package thrift

// The types of a TApplicationException. The Apache libraries define those up to 10; the last two are in common use.
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

// AppendException appends a framed reply that is a TApplicationException.
func AppendException(dst []byte, enc Encoding, name string, seq int32, exceptionType int32, text string) []byte {
	var w Writer
	w.BeginMessage(dst, enc, Exception, name, seq)
	w.FieldHeader(String, 1)
	w.String(text)
	w.FieldHeader(I32, 2)
	w.I32(exceptionType)
	return w.EndMessage()
}

// exceptionPaths are the fields of a TApplicationException: its text and its type.
var exceptionPaths = []Path{{1}, {2}}

// DecodeException decodes a TApplicationException. The text refers to the message's bytes.
func (m *Message) DecodeException() (exceptionType int32, text []byte, err error) {
	var found [MaxPaths]Value
	if err = m.Find(exceptionPaths, &found); err != nil {
		return 0, nil, err
	}
	return int32(found[1].Int), found[0].Bytes, nil
}
