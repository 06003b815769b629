package message

// Stage is what a model server does.
type Stage string

// The stages of model servers. Servers without a model have none.
const (
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
)

// Instance is a server as the platform lists it.
type Instance struct {
	ID       string  `msgpack:"i"`
	Service  string  `msgpack:"s"`
	Address  string  `msgpack:"a"`
	Zone     string  `msgpack:"z"`
	Slots    int     `msgpack:"n"`
	Draining bool    `msgpack:"d"`
	Stage    Stage   `msgpack:"g"`
	WarmupMs float64 `msgpack:"c"`
}

// List is a reading of the platform's list. It ages while it travels.
type InstanceList struct {
	Digest uint64  `msgpack:"d"` // 0: there is none
	AgeMs  float64 `msgpack:"a"` // since it was read, when this was sent
	Data   []byte  `msgpack:"i"` // the servers, packed; missing where only the age is told
}

// PackList packs servers.
func PackInstances(instances []Instance) ([]byte, error) { return pack(instances) }

// UnpackList returns the servers.
func UnpackInstances(data []byte) (instances []Instance, err error) {
	err = unpack(data, &instances)
	return instances, err
}
