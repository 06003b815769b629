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

// maxUnpackedBytes bounds the unpacked size of a payload: a small message must not exhaust the memory.
const maxUnpackedBytes = 64 << 20

// PackedTable is a compiled configuration, compressed. The control process that commits it packs it once; all others forward the bytes
// unchanged.
type PackedTable struct {
	Version uint64 `msgpack:"v"` // of the configuration
	Data    []byte `msgpack:"d"` // a routeconfig.Table as MessagePack, compressed by DEFLATE

	// Form is the form of the table as far as the sender knows: processes of earlier versions forward Data but drop this field.
	Form routeconfig.Form `msgpack:"f,omitempty"`
}

// Supersedes reports whether packed replaces other, which may be nil: it has a higher version, or the same version in a later form. Danger:
// a process of an earlier version may have compiled a table of the same version without the configuration's tenants.
func (packed *PackedTable) Supersedes(other *PackedTable) bool {
	return other == nil || IsNewerTable(packed.Version, packed.Form, other.Version, other.Form)
}

// IsNewerTable reports whether a table of a version and form replaces another one.
func IsNewerTable(version uint64, form routeconfig.Form, otherVersion uint64, otherForm routeconfig.Form) bool {
	return version > otherVersion || version == otherVersion && form > otherForm
}

// PackTable returns the packed form of table. The result must not be used if there is an error.
func PackTable(table *routeconfig.Table) (*PackedTable, error) {
	data, err := pack(table)
	return &PackedTable{Version: table.Version, Form: table.Form, Data: data}, err
}

// Unpack reverses PackTable. The result must not be used if there is an error.
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
	defer func() { _ = reader.Close() }() // the reader holds no resources
	return Error.Wrap(msgpack.NewDecoder(io.LimitReader(reader, maxUnpackedBytes)).Decode(value))
}
