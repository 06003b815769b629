package transport

import (
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// WriteFrame writes a message behind its length.
func WriteFrame(w io.Writer, message any) error {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return Error.Wrap(err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return Error.Wrap(err)
}

// ReadFrame reads a message that WriteFrame wrote.
func ReadFrame(r io.Reader, message any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Error.Wrap(err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxMessageBytes {
		return Error.New("a frame of %d bytes", length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(msgpack.Unmarshal(data, message))
}
