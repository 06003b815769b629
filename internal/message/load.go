package message

import "hash/fnv"

// Load is the load that a server has reported. Each exchange carries many of them, so they are encoded as arrays, without the keys of the
// fields; a decoder accepts both forms. The order of the fields is part of the encoding.
type Load struct {
	//lint:ignore U1000 the codec reads the option from this field
	_msgpack struct{} `msgpack:",as_array"`

	InstanceKey uint32 `msgpack:"k"` // result of the function InstanceKey for the server
	Running     uint16 `msgpack:"r"` // requests
	Waiting     uint16 `msgpack:"w"` // requests
	AgeMs       uint16 `msgpack:"a"` // from the report to the sending of this message
}

// InstanceKey returns the key of an instance in loads: the 32-bit FNV-1a hash of its identifier.
func InstanceKey(instanceID string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(instanceID)) // never fails
	return hash.Sum32()
}
