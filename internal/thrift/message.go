package thrift

import "encoding/binary"

// Message is a message with its head read. It lies where the bytes do.
type Message struct {
	Raw      []byte // the frame's payload
	Encoding Encoding
	Kind     Kind
	Name     []byte // the method's; "service:method" where services share a connection
	Seq      int32

	nameOffset       int // where Name lies
	seqStart, seqEnd int // where Seq is written
	bodyOffset       int // where the struct of arguments or results begins
}

// Frame takes the first frame off b, which holds what has come so far: its payload, and how many bytes it takes in b; 0: it
// is not whole. A frame holds no more than most bytes. Danger: what is no frame need never be whole, and is found out here
// by its first bytes.
func CutFrame(b []byte, maxSize int) (payload []byte, size int, err error) {
	if len(b) > 0 && b[0] != 0 && maxSize < 1<<24 {
		return nil, 0, ErrFrameSize
	}
	if len(b) < 4 {
		return nil, 0, nil
	}
	n := binary.BigEndian.Uint32(b)
	if n == 0 || n > uint32(maxSize) {
		return nil, 0, ErrFrameSize
	}
	if len(b) > 4 && b[4] != 0x80 && b[4] != compactProtocolID && b[4] != 0 {
		return nil, 0, ErrProtocol
	}
	if len(b) < 4+int(n) {
		return nil, 0, nil
	}
	return b[4 : 4+n], 4 + int(n), nil
}

const (
	versionMask       = 0xffff0000
	version1          = 0x80010000
	compactProtocolID = 0x82
	compactVersion    = 1
)

// Read reads a message's head, and what follows it for no more than where it begins.
func ParseMessage(payload []byte) (Message, error) {
	m := Message{Raw: payload}
	var err error
	switch r := (Reader{data: payload}); {
	case len(payload) == 0:
		return m, ErrTruncated
	case payload[0] == compactProtocolID:
		r.encoding = Compact
		err = m.parseCompact(&r)
	case payload[0] < 0x80:
		r.encoding = OldBinary
		err = m.parseOldBinary(&r)
	default:
		err = m.parseStrictBinary(&r)
	}
	if err == nil && (m.Kind < Call || m.Kind > Oneway) {
		err = ErrUnknownKind
	}
	return m, err
}

func (m *Message) parseStrictBinary(r *Reader) (err error) {
	version, err := r.readBytes(4)
	if err != nil {
		return err
	}
	word := binary.BigEndian.Uint32(version)
	if word&versionMask != version1 {
		return ErrProtocol
	}
	m.Kind = Kind(word)
	if m.Name, m.nameOffset, err = r.readName(); err != nil {
		return err
	}
	return m.parseSequence(r)
}

func (m *Message) parseOldBinary(r *Reader) (err error) {
	m.Encoding = OldBinary
	if m.Name, m.nameOffset, err = r.readName(); err != nil {
		return err
	}
	kind, err := r.Byte()
	if err != nil {
		return err
	}
	m.Kind = Kind(kind)
	return m.parseSequence(r)
}

// name reads a method's name, and where it lies.
func (r *Reader) readName() (name []byte, offset int, err error) {
	name, err = r.Bytes()
	return name, r.offset - len(name), err
}

// sequence ends a binary head.
func (m *Message) parseSequence(r *Reader) (err error) {
	m.seqStart = r.offset
	m.Seq, err = r.I32()
	m.seqEnd, m.bodyOffset = r.offset, r.offset
	return err
}

func (m *Message) parseCompact(r *Reader) error {
	m.Encoding = Compact
	head, err := r.readBytes(2)
	if err != nil {
		return err
	}
	if head[1]&0x1f != compactVersion {
		return ErrProtocol
	}
	m.Kind, m.seqStart = Kind(head[1]>>5), r.offset
	seq, err := r.readVarint()
	if err != nil {
		return err
	}
	m.Seq, m.seqEnd = int32(seq), r.offset
	m.Name, m.nameOffset, err = r.readName()
	m.bodyOffset = r.offset
	return err
}

// Moved returns a message whose bytes have been copied elsewhere.
func (m *Message) WithRaw(raw []byte) Message {
	moved := *m
	moved.Raw = raw
	moved.Name = raw[m.nameOffset : m.nameOffset+len(m.Name)]
	return moved
}

// Body returns a reader of the struct of arguments or results.
func (m *Message) Body() Reader {
	return Reader{data: m.Raw, offset: m.bodyOffset, encoding: m.Encoding}
}

// Check reads a message to its end and says what is wrong with it.
func (m *Message) Validate() error {
	r := m.Body()
	if err := r.Skip(Struct); err != nil {
		return err
	}
	if r.Remaining() > 0 {
		return ErrTrailingBytes
	}
	return nil
}

// AppendAs appends a message as a frame, with another sequence number.
func (m *Message) AppendWithSeq(dst []byte, seq int32) []byte {
	start := len(dst)
	dst = append(append(dst, 0, 0, 0, 0), m.Raw[:m.seqStart]...)
	if m.Encoding == Compact {
		dst = binary.AppendUvarint(dst, uint64(uint32(seq)))
	} else {
		dst = binary.BigEndian.AppendUint32(dst, uint32(seq))
	}
	dst = append(dst, m.Raw[m.seqEnd:]...)
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-4))
	return dst
}
