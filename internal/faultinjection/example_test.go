package faultinjection_test

import (
	"crypto/sha256"
	"fmt"

	"hazelwheel/internal/faultinjection"
)

// An operator starts a fault at one sidecar with the secret. Another sidecar, which has only the hash of the secret, starts it too when it gets
// a signature.
func ExampleInjector_StartRemote() {
	hash := sha256.Sum256([]byte("secret"))
	settings := faultinjection.Settings{SecretHash: hash[:], Faults: []faultinjection.Fault{{Name: "slow-reads", Class: "read", Percent: 100, DelayMS: 200, Abort: "none",
		DurationSeconds: 60}}}
	first, second := faultinjection.New(settings), faultinjection.New(settings)

	fault, err := first.Start(0, []byte("secret"), "slow-reads")
	fmt.Println(fault.Name, err)
	_, err = second.StartRemote(5, 7, "slow-reads", first.Sign(7, "slow-reads"), 55)
	fmt.Println(err, second.Match(59, "read") != nil, second.Match(60, "read") != nil)
	_, err = second.StartRemote(5, 8, "slow-reads", first.Sign(7, "slow-reads"), 55)
	fmt.Println(err)
	// Output:
	// slow-reads <nil>
	// <nil> true false
	// it was not started by the secret that is known here
}
