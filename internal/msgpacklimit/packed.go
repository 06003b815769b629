// Package msgpacklimit looks at MessagePack before it is read. The library that reads it makes room for as many elements as an array
// says that it has, whether they are there or not.
package msgpacklimit

import (
	"encoding/binary"
	"errors"
)

// ErrPacked is the fault of bytes that are no whole value.
var ErrPacked = errors.New("packed: no whole value")

// mostDeep bounds how values are nested.
const mostDeep = 32

// Whole returns an error unless bytes begin with one value that is there as a whole. Danger: ten bytes that speak of four thousand
// million elements would end the process that makes room for them.
func Whole(b []byte) error {
	_, ok := skip(b, 0)
	if !ok {
		return ErrPacked
	}
	return nil
}

// skip returns what is behind the first value.
func skip(b []byte, deep int) (rest []byte, ok bool) {
	if len(b) == 0 || deep > mostDeep {
		return nil, false
	}
	c := b[0]
	b = b[1:]
	switch {
	case c <= 0x7f || c >= 0xe0 || c >= 0xc0 && c <= 0xc3: // small numbers, nil, booleans
		return b, c != 0xc1
	case c <= 0x8f:
		return values(b, 2*uint64(c&0x0f), deep)
	case c <= 0x9f:
		return values(b, uint64(c&0x0f), deep)
	case c <= 0xbf:
		return beyond(b, uint64(c&0x1f))
	}
	switch c {
	case 0xc4, 0xc5, 0xc6: // bytes
		return counted(b, 1<<(c-0xc4), 0)
	case 0xc7, 0xc8, 0xc9: // of a kind of its own, which takes a byte more
		return counted(b, 1<<(c-0xc7), 1)
	case 0xca, 0xce, 0xd2:
		return beyond(b, 4)
	case 0xcb, 0xcf, 0xd3:
		return beyond(b, 8)
	case 0xcc, 0xd0:
		return beyond(b, 1)
	case 0xcd, 0xd1:
		return beyond(b, 2)
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8:
		return beyond(b, 1+1<<(c-0xd4))
	case 0xd9, 0xda, 0xdb: // text
		return counted(b, 1<<(c-0xd9), 0)
	case 0xdc, 0xdd, 0xde, 0xdf: // arrays and maps
		n, rest, ok := number(b, 2<<(c&1))
		if c >= 0xde {
			n *= 2
		}
		if !ok || n > uint64(len(rest)) {
			return nil, false
		}
		return values(rest, n, deep)
	}
	return nil, false
}

func values(b []byte, n uint64, deep int) ([]byte, bool) {
	ok := true
	for ; n > 0 && ok; n-- {
		b, ok = skip(b, deep+1)
	}
	return b, ok
}

func beyond(b []byte, n uint64) ([]byte, bool) {
	if n > uint64(len(b)) {
		return nil, false
	}
	return b[n:], true
}

// counted skips bytes whose number stands in front in so many bytes, and some more.
func counted(b []byte, size int, more uint64) ([]byte, bool) {
	n, rest, ok := number(b, size)
	if !ok {
		return nil, false
	}
	return beyond(rest, n+more)
}

func number(b []byte, size int) (n uint64, rest []byte, ok bool) {
	if len(b) < size {
		return 0, nil, false
	}
	switch size {
	case 1:
		n = uint64(b[0])
	case 2:
		n = uint64(binary.BigEndian.Uint16(b))
	default:
		n = uint64(binary.BigEndian.Uint32(b))
	}
	return n, b[size:], true
}
