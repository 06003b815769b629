package message

import "hash/fnv"

// Load is what a server told of itself: requests running and waiting there.
type Load struct {
	//lint:ignore U1000 the library goes by this field: many values go with each exchange, and either form is read
	_msgpack struct{} `msgpack:",as_array"`

	InstanceKey uint32 `msgpack:"k"` // of the instance
	Running     uint16 `msgpack:"r"`
	Waiting     uint16 `msgpack:"w"`
	AgeMs       uint16 `msgpack:"a"` // since it was told, when this was sent
}

// LoadKey returns the key of an instance in loads.
func InstanceKey(instance string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(instance))
	return hash.Sum32()
}
