package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// FuzzStep decodes unusual but legal sequences of events from the input and checks the actions with the checker.
func FuzzStep(f *testing.F) {
	f.Add([]byte("\x00\x10\x20\x31\x05\x42\x07\x53\x11\x64\x99\x02\x31\x44\x17\x2a"))
	f.Add([]byte("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 2000 {
			return
		}
		d := newFuzzDriver(t, data)
		for i := 0; i+1 < len(data); i += 2 {
			d.applyOperation(data[i], int(data[i+1]))
		}
		d.advance(4 * time.Second) // all requests must be answered by then
	})
}

// fuzzDriver decodes events from pairs of bytes: the first holds an operation and the time since the last one, the
// second an argument, from which workers, functions and ids are derived.
type fuzzDriver struct {
	*harness
	inFlight []fuzzAttempt
	attempts map[RequestID]int
	final    map[RequestID]bool // the next end of an attempt of the request is final
}

type fuzzAttempt struct {
	id     RequestID
	number int
	worker string
}

func newFuzzDriver(t *testing.T, data []byte) *fuzzDriver {
	t.Helper()
	s := testSettings()
	s.DrainGrace = 100 * time.Millisecond
	if len(data) > 0 {
		s.HedgingAllowed, s.WorkersLoadOnMiss = data[0]&1 == 0, data[0]&2 == 0
		if data[0]&4 == 0 {
			s.LoadRateWindow, s.LoadRateBurst, s.LoadRateRatio = 5*time.Second, 2, 0.1
		}
	}
	return &fuzzDriver{harness: newHarness(t, s, "w0", "w1", "w2", "w3"), attempts: map[RequestID]int{},
		final: map[RequestID]bool{}}
}

// applyOperation advances the time, applies one operation and records the resulting actions.
func (d *fuzzDriver) applyOperation(code byte, argument int) {
	d.now += time.Duration(code/8) * 5 * time.Millisecond
	worker := fmt.Sprintf("w%d", argument%5)
	var actions []Action
	switch code % 8 {
	case 0, 1:
		class := []string{classIdempotent, classNonIdempotent, classKeyed, "unknown"}[argument%4]
		_, actions = d.request(fmt.Sprintf("f%d", argument/4%6), class)
	case 2, 3, 4:
		if len(d.inFlight) == 0 {
			return
		}
		actions = d.applyAttemptEnd(argument)
	case 5:
		actions = d.applyRouterEvent(worker, argument)
	case 6:
		actions = d.applyEndpointUpdate(worker, argument)
	case 7:
		if argument >= 128 && len(d.inFlight) > 0 {
			actions = d.applyResponseStart(argument)
		} else {
			id := RequestID(argument) % (d.lastID + 1)
			d.final[id] = true
			actions = d.step(RequestCancelled{ID: id}, HealthChecked{Worker: worker, Result: Result(argument % 9)})
		}
	}
	d.record(append(actions, d.advance(10*time.Millisecond)...))
}

func (d *fuzzDriver) applyAttemptEnd(argument int) []Action {
	i := argument % len(d.inFlight)
	a := d.inFlight[i]
	d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
	result := Result(argument / 8 % 9)
	d.final[a.id] = d.final[a.id] || result == OK
	return d.step(AttemptEnded{ID: a.id, Attempt: a.number, Worker: a.worker, Result: result, Final: d.final[a.id],
		Duration: 30 * time.Millisecond, CacheStatus: CacheStatus(argument % 5), LoadReport: NoLoadReport})
}

// applyRouterEvent applies a shutdown, a gossip update or the result of a load.
func (d *fuzzDriver) applyRouterEvent(worker string, argument int) []Action {
	switch {
	case argument > 250:
		return d.step(ShutdownStarted{AnswerWithin: time.Duration(argument-250) * 100 * time.Millisecond})
	case argument > 220:
		return d.step(GossipUpdate{Routers: argument % 7, SuspectedWorkers: []string{worker, "w9"}})
	}
	function := fmt.Sprintf("f%d", argument%7)
	return d.step(FunctionLoaded{Worker: worker, Function: function, Result: Result(argument / 8 % 8)})
}

func (d *fuzzDriver) applyEndpointUpdate(worker string, argument int) []Action {
	endpoint := Endpoint{ID: worker, Kind: "small", Cell: argument % 5 / 2, State: EndpointState(argument / 5 % 3)}
	if argument > 200 {
		endpoint.StartedAt = d.now
	}
	return d.step(EndpointUpdate{Snapshot: argument == 77, Endpoints: []Endpoint{endpoint}})
}

func (d *fuzzDriver) applyResponseStart(argument int) []Action {
	a := d.inFlight[argument%len(d.inFlight)]
	actions := d.step(ResponseStarted{ID: a.id, Attempt: a.number, Worker: a.worker, Duration: 20 * time.Millisecond})
	if r := d.checker.requests[a.id]; r != nil && !r.done {
		d.final[a.id] = true
	}
	return actions
}

// record stores the attempts that were started and the requests that were answered.
func (d *fuzzDriver) record(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			d.inFlight = append(d.inFlight, fuzzAttempt{a.ID, d.attempts[a.ID], a.Worker})
			d.attempts[a.ID]++
		case RejectRequest:
			d.final[a.ID] = true
		case FailRequest:
			d.final[a.ID] = true
		}
	}
}
