package frames_test

import (
	"fmt"

	"hazelwheel/internal/peers/frames"
)

// A receiver buffers the bytes that it receives and removes complete frames from the front.
func ExampleNext() {
	body, err := frames.Marshal(frames.Hello{Fleet: "yard", Name: "m01", ID: 7})
	if err != nil {
		panic(err)
	}
	received, err := frames.Append(nil, frames.TopicHello, body)
	if err != nil {
		panic(err)
	}
	received = append(received, 0, 0) // the start of the next frame
	for {
		topic, body, length, err := frames.Next(received)
		if err != nil || length == 0 {
			fmt.Println("bytes left:", len(received), "error:", err)
			return
		}
		var hello frames.Hello
		if err := frames.Unmarshal(body, &hello); err != nil {
			panic(err)
		}
		fmt.Println("topic", topic, "from", hello.Name, "of", hello.Fleet)
		received = received[length:]
	}
	// Output:
	// topic 1 from m01 of yard
	// bytes left: 2 error: <nil>
}
