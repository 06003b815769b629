package thrift

import "encoding/binary"

// Message is a message whose header has been parsed. It refers to the bytes that were received.
type Message struct {
	Raw      []byte // the payload of the frame
	Encoding Encoding
	Kind     Kind
	Name     []byte // of the method; "service:method" in a multiplexed protocol
	Seq      int32

	nameOffset       int // of Name in Raw
	seqStart, seqEnd int // range of Seq in Raw
	bodyOffset       int // offset in Raw of the struct of arguments or results
}

const (
	versionMask       = 0xffff0000
	version1          = 0x80010000
	compactProtocolID = 0x82
	compactVersion    = 1
)

// ParseMessage parses a message's header. It does not check the body; Validate and Find do.
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

// parseStrictBinary parses a header of the binary protocol with a version.
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

// parseOldBinary parses a header of the binary protocol without a version.
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

// readName reads a method's name and returns it with its offset.
func (r *Reader) readName() (name []byte, offset int, err error) {
	name, err = r.Bytes()
	return name, r.offset - len(name), err
}

// parseSequence parses the sequence number that ends a header of the binary protocol.
func (m *Message) parseSequence(r *Reader) (err error) {
	m.seqStart = r.offset
	m.Seq, err = r.I32()
	m.seqEnd, m.bodyOffset = r.offset, r.offset
	return err
}

// parseCompact parses a header of the compact protocol.
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

// WithRaw returns the message with raw, a copy of its bytes, in place of Raw.
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

// Validate reads the message to its end and returns the first error.
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

// AppendWithSeq appends the message as a frame with another sequence number. Everything else is copied unchanged.
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
