package message

import "hash/fnv"

// Load is the load that a server has reported of itself. Many of them go with each exchange, so they are encoded as arrays, without the
// keys of the fields; a decoder accepts both forms. The order of the fields is part of the form.
type Load struct {
	//lint:ignore U1000 the codec reads the option from this field
	_msgpack struct{} `msgpack:",as_array"`

	InstanceKey uint32 `msgpack:"k"` // of the server, from the function InstanceKey
	Running     uint16 `msgpack:"r"` // requests
	Waiting     uint16 `msgpack:"w"` // requests
	AgeMs       uint16 `msgpack:"a"` // from the report to the sending of this message
}

// InstanceKey returns the short form of an instance's identifier that loads carry: its 32-bit FNV-1a hash.
func InstanceKey(instanceID string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(instanceID)) // never fails
	return hash.Sum32()
}
