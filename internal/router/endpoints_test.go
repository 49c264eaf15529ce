package router

import (
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// healthCheckDispatcher checks the health of worker "w" at each snapshot of the endpoint list, and sends all events to
// a channel.
type healthCheckDispatcher struct{ events chan dispatch.Event }

func (d healthCheckDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		if update, ok := event.(dispatch.EndpointUpdate); ok && update.Snapshot {
			actions = append(actions, dispatch.CheckHealth{Worker: "w", ForLease: true})
		}
		d.events <- event
	}
	return actions
}

// startHealthCheckRouter starts a router with a healthCheckDispatcher and an empty endpoint list. Its worker "w"
// answers health checks as not ready.
func startHealthCheckRouter(t *testing.T) (*Router, chan dispatch.Event) {
	t.Helper()
	upstream := &fakeUpstream{draining: map[string]bool{"w": true}}
	events := make(chan dispatch.Event, 64)
	r, err := New(Config{
		Endpoints:     endpoints.Settings{CheckInterval: time.Hour},
		NewDispatcher: func(dispatch.Settings, uint64) (Dispatcher, error) { return healthCheckDispatcher{events}, nil },
	}, upstream)
	if err != nil {
		t.Fatal(err)
	}
	upstream.router = r
	t.Cleanup(r.Kill)
	return r, events
}

// TestHealthCheckReportsDrain checks that a worker that is active in the list, but answers a health check as not ready,
// is reported to the dispatcher as draining and treated as draining.
func TestHealthCheckReportsDrain(t *testing.T) {
	r, events := startHealthCheckRouter(t)
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

// TestListIsConfirmedAfterItsUpdate checks that the dispatcher gets a confirmation of the list after the update it
// covers.
func TestListIsConfirmedAfterItsUpdate(t *testing.T) {
	r, events := startHealthCheckRouter(t)
	r.post(func() { // both within one turn of the loop
		r.UpdateEndpoints(endpoints.Update{Workers: []endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}}}})
		r.EndpointListConfirmed(r.Now())
	})
	if _, isUpdate := testsupport.Await(t, events, "the update").(dispatch.EndpointUpdate); !isUpdate {
		t.Error("the confirmation came before the update")
	}
}

// TestSendLimitIsMonotonic checks that SendLimits.SendBefore is independent of the wall clock.
func TestSendLimitIsMonotonic(t *testing.T) {
	r, _ := startHealthCheckRouter(t)
	limit := r.timeAt(r.Now() + time.Second)
	if !strings.Contains(limit.String(), " m=") {
		t.Errorf("%v has no monotonic reading", limit)
	}
	limits := SendLimits{SendBefore: limit}
	if limits.Expired(time.Now()) || !limits.Expired(limit) || (SendLimits{}).Expired(limit) {
		t.Errorf("%+v", limits)
	}
}
