package coordination

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
)

// The messages of the list roles. The numbers are the wire form.
const (
	kindListUpdate  = 1 // listUpdate, from a holder to all
	kindListRequest = 2 // listRequest, over one link
	kindListChunk   = 3 // listChunk, over the same link
)

const (
	maxDeltaBytes = 40 << 10 // maximum size of a compressed delta in an update; a longer one is omitted, and receivers request the list
	chunkBytes    = 32 << 10 // size of the chunks of a compressed list
	maxListBytes  = 8 << 20  // maximum size of an uncompressed list or delta
)

// listUpdate announces a new version of the holder's list, with the delta that led to it, or that the version is still current.
type listUpdate struct {
	Discovery  string  `msgpack:"d"`           // address of the discovery service; versions of different services can't be compared
	Index      uint64  `msgpack:"i"`           // version of the holder's list
	Checksum   uint64  `msgpack:"s"`           // of the list
	BaseIndex  uint64  `msgpack:"f,omitempty"` // version that Delta applies to
	Delta      []byte  `msgpack:"r,omitempty"` // compressed object of discovery; nil: receivers without the version request it
	AtSeconds  float64 `msgpack:"t"`           // when it was sent: seconds since the grant, by the holder's clock
	WatchEnded bool    `msgpack:"e,omitempty"` // the holder's watch has ended: no updates will come for now
}

// listRequest requests the list.
type listRequest struct {
	Discovery string `msgpack:"d"`
	Index     uint64 `msgpack:"i"` // the minimum version
}

// listChunk is a part of a list. Chunks are sent in order.
type listChunk struct {
	Discovery string `msgpack:"d"`
	Index     uint64 `msgpack:"i"`
	Checksum  uint64 `msgpack:"s"`
	Chunk     int    `msgpack:"p"` // from 0
	Chunks    int    `msgpack:"n"`
	Body      []byte `msgpack:"b"` // of the compressed list
}

// errListMismatch is the error for a list or delta that does not match the announced version or exceeds its bounds.
var errListMismatch = errors.New("relayed list is not the announced version")

// compress returns the DEFLATE form of a list or delta.
func compress(raw []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(raw)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil { // impossible: the level is valid, and a buffer takes everything
		panic(err)
	}
	return b.Bytes()
}

// decompress undoes compress. Danger: the input comes from a peer, so the output is limited to maxListBytes.
func decompress(b []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxListBytes+1))
	if err == nil && len(raw) > maxListBytes {
		err = errListMismatch
	}
	return raw, err
}
