package dispatch_test

import (
	"fmt"
	"log"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

func Example() {
	d, err := dispatch.New(dispatch.Settings{
		Routers:     1,
		MaxAttempts: 3,
		Classes:     []dispatch.Class{{Name: "quote", Idempotency: dispatch.Idempotent, Deadline: time.Second}},
	}, 1)
	if err != nil {
		log.Fatal(err)
	}
	now := time.Second // since any fixed moment
	actions := d.Step(now, []dispatch.Event{
		dispatch.EndpointUpdate{Snapshot: true, Endpoints: []dispatch.Endpoint{{ID: "w1"}}},
		dispatch.Request{ID: 1, Function: "f", Class: "quote", MemoryMB: 300, ConcurrencyPerInstance: 1,
			RemainingDeadline: time.Second},
	})
	for _, a := range actions {
		fmt.Printf("%T\n", a)
	}
	// Output:
	// dispatch.StartAttempt
	// dispatch.SetTimer
}
