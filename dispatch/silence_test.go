package dispatch

import (
	"testing"
	"time"
)

// TestAClassThatAWorkerLeavesWithoutAnswersRestsThere: worker by worker a class may hang while others are answered.
// The worker is heard, so the doubt never sees it. What is overdue there is tried elsewhere where that does no harm.
func TestAClassThatAWorkerLeavesWithoutAnswersRestsThere(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	s.Classes[0].Idempotency, s.Classes[2].Idempotency = Idempotent, NonIdempotent
	r := newHarness(t, s, "a", "b")
	open := map[RequestID]StartAttempt{}
	var carry func(out []Action)
	late := map[RequestID]int{} // sends of the class that hangs, by request
	hung := 0
	carry = func(out []Action) {
		for _, a := range actionsOf[StartAttempt](out) {
			class := "once"
			if late[a.ID] > 0 {
				class = "safe"
				late[a.ID]++
			}
			if class == "safe" && a.Worker == "a" {
				hung++
				open[a.ID] = a
				continue
			}
			r.now += time.Millisecond
			carry(r.step(AttemptEnded{ID: a.ID, Attempt: max(late[a.ID]-2, 0), Worker: a.Worker, Result: OK, Duration: 20 * time.Millisecond,
				Final: true, FunctionInFlight: -1, LoadReport: NoLoadReport}))
		}
	}
	call := func(class string) {
		r.next++
		if class == "safe" {
			late[r.next] = 1
		}
		carry(r.step(Request{ID: r.next, Function: "f" + class, Class: class, MemoryMB: 300, ConcurrencyPerInstance: 1,
			ExpectedWork: 20 * time.Millisecond, RemainingDeadline: 3 * time.Second}))
	}
	for range 100 {
		call("safe")
		call("once")
		carry(r.advance(20 * time.Millisecond))
	}
	a := r.dispatcher.workers["a"]
	if b := a.ejections[r.dispatcher.classes["safe"]]; hung > 0 && b.count == 0 {
		t.Fatalf("%d requests hung at a, and the class goes on there", hung)
	}
	if a.suspected || a.ejections[r.dispatcher.classes["once"]].count > 0 {
		t.Error("a's other class suffers")
	}
	again := 0
	for _, n := range late {
		if n > 2 {
			again++
		}
	}
	// At 45 a second, those of the first second are overdue only once a load could have ended.
	if hung == 0 || hung > 60 || again == 0 {
		t.Errorf("%d of 100 requests hung at a, %d of them were tried elsewhere", hung, again)
	}
}

// TestOneAnswerEndsTheRow: lost requests now and then, with answers between, rest nothing.
func TestOneAnswerEndsTheRow(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	r := newHarness(t, s, "a", "b")
	for i := range 200 {
		id, out := r.call("f", "safe")
		for _, a := range actionsOf[StartAttempt](out) {
			if i%7 == 0 {
				continue // never answered
			}
			r.now += time.Millisecond
			r.step(AttemptEnded{ID: id, Worker: a.Worker, Result: OK, Duration: 20 * time.Millisecond, Final: true, FunctionInFlight: -1, LoadReport: NoLoadReport})
		}
		r.advance(20 * time.Millisecond)
	}
	for _, w := range r.dispatcher.activeWorkers {
		if b := w.ejections[r.dispatcher.classes["safe"]]; b.count > 0 {
			t.Errorf("%s rests the class, %+v", w.ID, b)
		}
	}
}

// TestAnAttemptCountsOnceInARow: a request may be woken several times while its attempt is out (it waited for a probe or
// a load before). However often it is looked at, it is one attempt without an answer.
func TestAnAttemptCountsOnceInARow(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	r := newHarness(t, s, "a")
	id, out := r.call("f", "safe")
	first := r.onlyAttempt(out)
	q := r.dispatcher.requests[id]
	for range 2 * timeoutsToEject { // wakes asked for before the attempt was sent
		r.dispatcher.setRequestTimer(q, r.now)
	}
	other, out := r.call("g", "once") // the worker answers others all the while
	r.onlyAttempt(out)
	r.now += 10 * time.Millisecond
	r.step(AttemptEnded{ID: other, Worker: first.Worker, Result: OK, Duration: 10 * time.Millisecond, Final: true, FunctionInFlight: -1, LoadReport: NoLoadReport})
	r.advance(2 * time.Second)
	if b := r.dispatcher.workers["a"].ejections[r.dispatcher.classes["safe"]]; b.consecutiveTimeouts != 1 || b.count != 0 {
		t.Errorf("one attempt overdue counts as %d, and the class has rested %d times", b.consecutiveTimeouts, b.count)
	}
}
