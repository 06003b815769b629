package message

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"hazelwheel/internal/routeconfig"
)

// Error is the class of the errors of this package and of receivers that reject a message.
var Error = errs.Class("message")

// maxUnpackedBytes bounds what is read of a payload while it is unpacked: a small message must not fill the memory.
const maxUnpackedBytes = 64 << 20

// PackedTable is a configuration in the form that proxies use. The control process that commits it packs it once; all others forward the
// bytes as they are.
type PackedTable struct {
	Version uint64 `msgpack:"v"` // of the configuration
	Data    []byte `msgpack:"d"` // a routeconfig.Table as MessagePack, compressed by DEFLATE
}

// PackTable returns the packed form of table. The result is not to be used where there is an error.
func PackTable(table *routeconfig.Table) (*PackedTable, error) {
	data, err := pack(table)
	return &PackedTable{Version: table.Version, Data: data}, err
}

// Unpack reverses PackTable. The result is not to be used where there is an error.
func (packed *PackedTable) Unpack() (*routeconfig.Table, error) {
	table := &routeconfig.Table{}
	return table, unpack(packed.Data, table)
}

// pack returns value as compressed MessagePack.
func pack(value any) ([]byte, error) {
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := msgpack.NewEncoder(writer).Encode(value); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return out.Bytes(), nil
}

// unpack reverses pack, into the value that the pointer points to.
func unpack(data []byte, value any) error {
	reader := flate.NewReader(bytes.NewReader(data))
	defer func() { _ = reader.Close() }() // a reader of bytes holds no resource
	return Error.Wrap(msgpack.NewDecoder(io.LimitReader(reader, maxUnpackedBytes)).Decode(value))
}
