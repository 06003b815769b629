package message

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"hazelwheel/internal/routeconfig"
)

// Error is the class of all errors of this package.
var Error = errs.Class("message")

// maxPayload bounds a payload once it is unpacked, in bytes.
const maxPayload = 64 << 20

// Table is a configuration, packed once by who first has it. Agents pass it on as it is.
type PackedTable struct {
	Version uint64 `msgpack:"v"`
	Data    []byte `msgpack:"d"`
}

// PackTable packs a configuration.
func PackTable(table *routeconfig.Table) (*PackedTable, error) {
	data, err := pack(table)
	return &PackedTable{Version: table.Version, Data: data}, err
}

// Unpack returns the configuration.
func (t *PackedTable) Unpack() (*routeconfig.Table, error) {
	table := &routeconfig.Table{}
	return table, unpack(t.Data, table)
}

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

func unpack(data []byte, value any) error {
	reader := flate.NewReader(bytes.NewReader(data))
	defer reader.Close()
	return Error.Wrap(msgpack.NewDecoder(io.LimitReader(reader, maxPayload)).Decode(value))
}
