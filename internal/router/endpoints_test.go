package router

import (
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// checkingDispatcher health-checks a worker at each update of the endpoint list, and passes on the events.
type checkingDispatcher struct{ events chan dispatch.Event }

func (d checkingDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		if update, ok := event.(dispatch.EndpointUpdate); ok && update.Snapshot {
			actions = append(actions, dispatch.CheckHealth{Worker: "w", ForLease: true})
		}
		d.events <- event
	}
	return actions
}

// newCheckingRouter starts a router whose one worker drains, with a checkingDispatcher.
func newCheckingRouter(t *testing.T) (*Router, chan dispatch.Event) {
	t.Helper()
	upstream := &fakeUpstream{drains: map[string]bool{"w": true}}
	events := make(chan dispatch.Event, 64)
	r, err := New(Config{
		Endpoints:     endpoints.Settings{CheckInterval: time.Hour},
		NewDispatcher: func(dispatch.Settings, uint64) (Dispatcher, error) { return checkingDispatcher{events}, nil },
	}, upstream)
	if err != nil {
		t.Fatal(err)
	}
	upstream.router = r
	t.Cleanup(r.Kill)
	return r, events
}

// TestHealthCheckTellsOfDrain has a worker that the list has as active answer a health check as not ready. The dispatcher is
// told, and the worker is kept as draining.
func TestHealthCheckTellsOfDrain(t *testing.T) {
	r, events := newCheckingRouter(t)
	r.SetEndpoints([]endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}}})
	testsupport.Await(t, events, "the list")
	checked, ok := testsupport.Await(t, events, "the health check").(dispatch.HealthChecked)
	if !ok || !checked.Draining || checked.Result != dispatch.OK {
		t.Errorf("%+v", checked)
	}
	update, ok := testsupport.Await(t, events, "the drain").(dispatch.EndpointUpdate)
	if !ok || len(update.Endpoints) != 1 || update.Endpoints[0].State != dispatch.EndpointDraining {
		t.Errorf("%+v", update)
	}
	if stats := r.Stats(); stats.LeaseChecks != 1 || stats.DrainsReported != 1 {
		t.Errorf("%+v", stats)
	}
}

// TestListIsConfirmedAfterItsUpdate checks that the dispatcher gets a confirmation behind the update that it covers.
func TestListIsConfirmedAfterItsUpdate(t *testing.T) {
	r, events := newCheckingRouter(t)
	r.post(func() { // both within one turn of the loop
		r.UpdateEndpoints(endpoints.Update{Workers: []endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}}}})
		r.EndpointListConfirmed(r.Now())
	})
	if _, isUpdate := testsupport.Await(t, events, "the update").(dispatch.EndpointUpdate); !isUpdate {
		t.Error("the confirmation came before the update")
	}
}

// TestSendLimitIsMonotonic checks that the time limit of a send does not follow the wall clock.
func TestSendLimitIsMonotonic(t *testing.T) {
	r, _ := newCheckingRouter(t)
	limit := r.timeAt(r.Now() + time.Second)
	if !strings.Contains(limit.String(), " m=") {
		t.Errorf("%v has no monotonic reading", limit)
	}
	limits := SendLimits{SendBefore: limit}
	if limits.Expired(time.Now()) || !limits.Expired(limit) || (SendLimits{}).Expired(limit) {
		t.Errorf("%+v", limits)
	}
}
