package router

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// deadlineRecorder is a Dispatcher that records the remaining deadline of each request and returns no actions.
type deadlineRecorder chan time.Duration

func (d deadlineRecorder) Step(_ time.Duration, events []dispatch.Event) []dispatch.Action {
	for _, event := range events {
		if request, ok := event.(dispatch.Request); ok {
			d <- request.RemainingDeadline
		}
	}
	return nil
}

// TestDeadlineCountsFromMeasurement checks that the time between Call.MeasuredAt and Submit is deducted from the
// remaining deadline that the dispatcher gets.
func TestDeadlineCountsFromMeasurement(t *testing.T) {
	recorder := make(deadlineRecorder, 1)
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
		t.Errorf("remaining deadline %v of %v, measured %v earlier", got, testDeadline, passed)
	}
}
