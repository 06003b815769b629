package policy_test

import (
	"fmt"

	"hazelwheel/policy"
)

// printer prints the actions that matter in this example.
type printer struct{}

func (printer) Send(request, host uint32)        { fmt.Println("send", request, "to", host) }
func (printer) Cancel(request uint32, n int)     { fmt.Println("cancel", request, n) }
func (printer) Probe(uint32)                     {}
func (printer) CloseIdle(uint32)                 {}
func (printer) Refuse(request uint32, _ float64) { fmt.Println("refuse", request) }
func (printer) Fail(request uint32)              { fmt.Println("fail", request) }
func (printer) WakeAfter(float64)                {}
func (printer) Watch()                           {}
func (printer) Log(text string)                  { fmt.Println(text) }

func Example() {
	settings := policy.Settings{
		Classes:     []policy.Class{{Name: "lookup", Effect: policy.Safe, LatencyTargetSeconds: 0.3, TotalTimeoutSeconds: 1}},
		Replicas:    1,
		MaxAttempts: 2,
	}
	b := policy.New(settings, 1, printer{})
	b.UpdateHosts(0, policy.ListFull, []policy.HostInfo{{ID: 7, State: policy.Ready}})
	b.StartRequest(0.1, policy.Request{ID: 1, Class: 0, Deadline: 1.1})
	b.AttemptDone(0.2, policy.Result{ID: 1, Attempt: 0, Host: 7, Outcome: policy.OK, DelaySeconds: 0.1, Final: true})
	b.UpdateHosts(0.3, policy.ListDelta, []policy.HostInfo{{ID: 7, State: policy.Draining}})
	b.StartRequest(0.4, policy.Request{ID: 2, Class: 0, Deadline: 1.4})
	b.Wake(0.6)
	// Output:
	// send 1 to 7
	// refuse 2
}
