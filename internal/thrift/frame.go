package thrift

import "encoding/binary"

// CutFrame returns the payload of the first frame of b, and its size with the header; size is 0 if the frame is incomplete. It
// returns ErrFrameSize for an empty payload or one above maxSize bytes. Danger: bytes that aren't Thrift may claim a
// frame that never becomes complete, so they are rejected as soon as the first bytes show it.
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
