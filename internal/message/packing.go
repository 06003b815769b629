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

	// Form is that of the table, as far as the sender knows: processes of earlier versions forward the bytes and drop this field.
	Form routeconfig.Form `msgpack:"f,omitempty"`
}

// Supersedes reports whether packed takes the place of other, which may be nil: it has a higher version, or the same one in a later form. Danger: of
// one version there may be a table that a process of an earlier version has compiled, without what the configuration says of tenants.
func (packed *PackedTable) Supersedes(other *PackedTable) bool {
	return other == nil || IsNewerTable(packed.Version, packed.Form, other.Version, other.Form)
}

// IsNewerTable reports whether a table of a version and form takes the place of another one.
func IsNewerTable(version uint64, form routeconfig.Form, otherVersion uint64, otherForm routeconfig.Form) bool {
	return version > otherVersion || version == otherVersion && form > otherForm
}

// PackTable returns the packed form of table. The result is not to be used where there is an error.
func PackTable(table *routeconfig.Table) (*PackedTable, error) {
	data, err := pack(table)
	return &PackedTable{Version: table.Version, Form: table.Form, Data: data}, err
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
