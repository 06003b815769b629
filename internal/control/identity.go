package control

import (
	"crypto/rand"
	"encoding/hex"
	"slices"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/nodeconfig"
)

// newState returns the first state of a disk that holds none. A founder (see nodeconfig.Settings.Bootstrap) starts with the founding
// value. Any other process starts without a value and with a random identity, which is in no set of voters. Danger: only an unused disk may
// be a founder's. A disk that has lost its state may have promised something under the founder's identity.
func newState(settings *nodeconfig.Settings, isUnusedDisk bool) register.State {
	address := settings.InternalAddress(settings.IP, nodeconfig.ControlPort)
	founders := settings.SeedAddresses()
	if isUnusedDisk && settings.Bootstrap && slices.Contains(founders, address) {
		return register.State{ID: founderID(address), Value: foundingValue(founders)}
	}
	var nonce [8]byte
	_, _ = rand.Read(nonce[:]) // never fails
	return register.State{ID: address + "#" + hex.EncodeToString(nonce[:])}
}

// founderID returns the identity of a founder's disk, which all founders can derive from its address.
func founderID(address string) string { return "founder@" + address }

// foundingValue returns the value that all founders start with.
func foundingValue(addresses []string) register.Value {
	value := register.Value{Epoch: 1}
	for _, address := range addresses {
		value.Voters = append(value.Voters, register.Voter{ID: founderID(address), Address: address})
	}
	return value
}
