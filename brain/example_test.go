package brain_test

import (
	"fmt"
	"log"
	"time"

	"github.com/topazfront/topazfront/brain"
)

func Example() {
	d, err := brain.New(brain.Settings{
		Routers:     1,
		MaxAttempts: 3,
		Classes:     []brain.Class{{Name: "quote", Effect: brain.Safe, Deadline: time.Second}},
	}, 1)
	if err != nil {
		log.Fatal(err)
	}
	now := time.Second // since any fixed moment
	actions := d.Step(now, []brain.Event{
		brain.Roster{Whole: true, Members: []brain.Member{{ID: "w1"}}},
		brain.Request{ID: 1, Function: "f", Class: "quote", MemoryMB: 300, Lanes: 1, Left: time.Second},
	})
	for _, a := range actions {
		fmt.Printf("%T\n", a)
	}
	// Output:
	// brain.Send
	// brain.Wake
}
