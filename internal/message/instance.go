package message

// Stage is the part of a request that a model server executes. Servers without a model have the empty stage.
type Stage string

// The stages of model servers.
const (
	Prefill Stage = "prefill" // reads the prompt and fills its KV cache
	Decode  Stage = "decode"  // generates tokens from a KV cache
)

// Instance is a server as the platform lists it.
type Instance struct {
	ID       string  `msgpack:"i"`
	Service  string  `msgpack:"s"`
	Address  string  `msgpack:"a"` // IP:PORT
	Zone     string  `msgpack:"z"`
	Slots    int     `msgpack:"n"` // requests that it can run at once
	Draining bool    `msgpack:"d"` // it is shutting down and gets no new requests
	Stage    Stage   `msgpack:"g"`
	WarmupMs float64 `msgpack:"c"` // remaining warm-up time; always 0, kept for receivers that expect the key
}

// InstanceList is one reading of the platform's list of servers. Its age is sent instead of its time, since the clocks of machines differ.
type InstanceList struct {
	Digest uint64  `msgpack:"d"` // identifies the content, whatever its order; 0: there is no list
	AgeMs  float64 `msgpack:"a"` // from the reading to the sending of this message
	Data   []byte  `msgpack:"i"` // from PackInstances; nil if only digest and age are sent
}

// PackInstances returns the servers as the compressed Data of an InstanceList.
func PackInstances(instances []Instance) ([]byte, error) { return pack(instances) }

// UnpackInstances reverses PackInstances.
func UnpackInstances(data []byte) (instances []Instance, err error) {
	err = unpack(data, &instances)
	return instances, err
}
