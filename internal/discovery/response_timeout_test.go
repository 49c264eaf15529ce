package discovery

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestResponseTimeout follows the timeouts of polls that end one after another.
func TestResponseTimeout(t *testing.T) {
	const usual, long = time.Second, 2500 * time.Millisecond
	type poll struct {
		timeout, took time.Duration
		err           error
	}
	for name, polls := range map[string][]poll{
		"quick":              {{usual, usual, nil}, {usual, 0, nil}, {usual, usual, nil}},
		"silent":             {{usual, usual, errResponseTimeout}, {usual, usual, errResponseTimeout}, {long, long, errResponseTimeout}, {usual, usual, errResponseTimeout}, {usual, usual, errResponseTimeout}, {long, long, errResponseTimeout}, {usual, 0, nil}},
		"slow, then quick":   {{usual, usual, errResponseTimeout}, {usual, usual, errResponseTimeout}, {long, 2 * usual, nil}, {long, 2 * usual, nil}, {long, usual, nil}, {usual, usual, nil}},
		"slow, then silent":  {{usual, usual, errResponseTimeout}, {usual, usual, errResponseTimeout}, {long, 2 * usual, nil}, {long, long, errResponseTimeout}, {usual, usual, errResponseTimeout}, {long, 0, nil}},
		"closed in between":  {{usual, usual, errResponseTimeout}, {usual, 0, errConnectionClosed}, {usual, usual, errResponseTimeout}, {long, 0, nil}},
		"at another address": {{usual, usual, errResponseTimeout}, {usual, usual, errResponseTimeout}, {long, 0, errInterrupted}, {usual, 0, nil}},
	} {
		t.Run(name, func(t *testing.T) {
			timeout := responseTimeout{usual: usual}
			for i, p := range polls {
				if got := timeout.next(); got != p.timeout {
					t.Errorf("poll %d has %v, want %v", i, got, p.timeout)
				}
				timeout.record(p.took, p.err)
			}
		})
	}
}

// TestSlowServerIsHeard has each response take longer than the usual timeout. Events are applied nonetheless.
func TestSlowServerIsHeard(t *testing.T) {
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
