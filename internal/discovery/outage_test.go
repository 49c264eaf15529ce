package discovery

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestSlowDiscovery has the server send each response late, up to after twice a poll's time-out. Each event is applied all
// the same, once.
func TestSlowDiscovery(t *testing.T) {
	for name, delay := range map[string]time.Duration{"a little": 400 * time.Millisecond, "over twice the time-out": 1100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, watcher, lists := startWatcher(t, func(int, string) (string, bool) {
				time.Sleep(delay)
				return "", false
			})
			for _, want := range []string{"c", "d", "e"} {
				server.AddEvent(fakeplatform.EndpointsEvent(true, want+" 1.1.1.1:1 active"))
				if got := testsupport.Await(t, lists, "the event"); got != want+"@1.1.1.1:1" {
					t.Errorf("list %s, want %s", got, want)
				}
			}
			if stats := watcher.Stats(); stats.Events != 3 {
				t.Errorf("%+v, want each event once", stats)
			}
		})
	}
}
