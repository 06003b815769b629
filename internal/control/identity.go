package control

import (
	"crypto/rand"
	"encoding/hex"
	"slices"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/nodeconfig"
)

// newState returns the state of a disk without one. empty tells whether nothing was ever written to it.
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

func founderID(address string) string { return "founder@" + address }

// founding returns the value with which all founders begin.
func foundingValue(addresses []string) register.Value {
	value := register.Value{Epoch: 1}
	for _, address := range addresses {
		value.Voters = append(value.Voters, register.Voter{ID: founderID(address), Address: address})
	}
	return value
}
