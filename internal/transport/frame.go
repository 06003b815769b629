package transport

import (
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// headerSize is the size of a frame's header, in bytes. It holds the length of the message.
const headerSize = 4

// WriteFrame writes the length of message in bytes (32 bits, big-endian) and message as MessagePack, in one call of w.Write.
func WriteFrame(w io.Writer, message any) error {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return Error.Wrap(err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, headerSize+len(data)), uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return Error.Wrap(err)
}

// ReadFrame reads a frame of WriteFrame into message, a pointer. After an error the position in the stream is unknown, so the connection can't
// be used any longer.
func ReadFrame(r io.Reader, message any) error {
	var header [headerSize]byte
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
