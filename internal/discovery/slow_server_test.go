package discovery

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestEventsOfSlowServerAreApplied delays each response beyond a poll's timeout. Events must be applied nonetheless.
func TestEventsOfSlowServerAreApplied(t *testing.T) {
	const pollWait, delay = 100 * time.Millisecond, 600 * time.Millisecond
	server, _, lists := startWatcherWithWait(t, pollWait, func(int, string) (string, bool) {
		time.Sleep(delay)
		return "", false
	})
	for _, c := range []struct{ event, list string }{
		{"c 1.1.1.3:1 active", "a@1.1.1.1:1, b@1.1.1.2:1, c@1.1.1.3:1"},
		{"a 1.1.1.1:1 left", "b@1.1.1.2:1, c@1.1.1.3:1"},
	} {
		server.AddEvent(fakeplatform.EndpointsEvent(false, c.event))
		if got := testsupport.Await(t, lists, "the event"); got != c.list {
			t.Errorf("list %s, want %s", got, c.list)
		}
	}
}
