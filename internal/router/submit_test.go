package router

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// requestRecorder is a Dispatcher that records the time left of each request, and decides nothing.
type requestRecorder chan time.Duration

func (d requestRecorder) Step(_ time.Duration, events []dispatch.Event) []dispatch.Action {
	for _, event := range events {
		if request, ok := event.(dispatch.Request); ok {
			d <- request.RemainingDeadline
		}
	}
	return nil
}

// TestDeadlineCountsFromMeasurement: the time between the measurement of what the client has left and the submission has
// passed for the dispatcher too.
func TestDeadlineCountsFromMeasurement(t *testing.T) {
	recorder := make(requestRecorder, 1)
	newDispatcher := func(dispatch.Settings, uint64) (Dispatcher, error) { return recorder, nil }
	r, err := New(Config{NewDispatcher: newDispatcher}, &fakeUpstream{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Kill)
	const passed = 400 * time.Millisecond
	r.Submit(&Call{Function: testFunction, Class: testClass, RemainingDeadline: testDeadline,
		MeasuredAt: time.Now().Add(-passed), Client: answerChannel(nil)})
	if got := <-recorder; got > testDeadline-passed {
		t.Errorf("%v left of %v, of which %v have passed", got, testDeadline, passed)
	}
}
