package respupstream

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestAttemptIsSentToProcessOfOldConnection guards against a repeat that reaches another process, which has taken the
// worker's address: an attempt with ConnectedBefore may only be sent on a connection that is old enough, and none is
// opened for it.
func TestAttemptIsSentToProcessOfOldConnection(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	dispatcher := &scriptedDispatcher{attemptWorkers: []string{"w"}}
	h := newHarness(t, nil, dispatcher, w)
	attempt := func(connectedBefore time.Duration) dispatch.AttemptEnded {
		t.Helper()
		dispatcher.mu.Lock()
		dispatcher.connectedBefore = connectedBefore
		dispatcher.mu.Unlock()
		h.submit(15 * time.Second)
		return testsupport.Await(t, dispatcher.outcomes, "the outcome")
	}
	startedAt := h.router.Now()
	first := attempt(0)
	if first.Result != dispatch.OK || first.ConnectedAt < startedAt || first.ConnectedAt > h.router.Now() {
		t.Fatalf("%v on a connection opened at %v, want it opened after %v", first.Result, first.ConnectedAt, startedAt)
	}
	if same := attempt(first.ConnectedAt); same.Result != dispatch.OK || same.ConnectedAt != first.ConnectedAt {
		t.Errorf("%v on a connection opened at %v, want the one opened at %v", same.Result, same.ConnectedAt, first.ConnectedAt)
	}
	if older := attempt(first.ConnectedAt - 1); older.Result != dispatch.NotSent || older.ConnectedAt != 0 {
		t.Errorf("%v on a connection opened at %v, want it not sent", older.Result, older.ConnectedAt)
	}
	if accepted := w.Accepted(); accepted != 1 {
		t.Errorf("%d connections were opened, want 1", accepted)
	}
}
