package httprouter

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// TestConfigurationsInQuickSuccessionUnderTraffic moves discovery five times within a second, by SIGHUP, while clients call. The last
// server is polled in the end from the revision reached, its events are applied, and every call is served.
func TestConfigurationsInQuickSuccessionUnderTraffic(t *testing.T) {
	const (
		configurations = 5
		pause          = 100 * time.Millisecond // between two of them
	)
	h := startHarness(t, harnessOptions{unstarted: true})
	run := startRun(t, configJSON(h.discovery.Addr(), h.discovery.AllEvents()))
	h.client.BaseURL = "http://" + addressInLine(run.waitForLine("msg=serving"))
	stop, served := make(chan struct{}), make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				served <- n
				return
			default:
			}
			if h.calls(2) < 6 {
				t.Error("a call is not served")
			}
			n++
		}
	}()
	var last *fakeplatform.DiscoveryServer
	for range configurations {
		last = startDiscovery(t, `"x":1`)
		run.writeConfig(configJSON(last.Addr(), h.discovery.AllEvents()))
		run.sendSIGHUP()
		time.Sleep(pause)
	}
	last.AddEvent(fakeplatform.EndpointsEvent(false, "a "+h.workers[0].Addr()+" leaving"))
	awaitPoll(t, last, 2)
	h.recordDrain("a")
	close(stop)
	if <-served == 0 {
		t.Error("no calls were made")
	}
	before := len(h.workers[0].Received())
	if n := h.calls(4); n < 12 {
		t.Errorf("%d of 12 served", n)
	}
	if got := len(h.workers[0].Received()) - before; got > 0 {
		t.Errorf("%d messages to a worker that drains", got)
	}
	run.terminate()
	run.requireStop()
	h.requireInvariants()
}

// awaitPoll waits for a poll from a revision: the events up to it were applied.
func awaitPoll(t *testing.T, server *fakeplatform.DiscoveryServer, revision int) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case got := <-server.Polls():
			if got == revision {
				return
			}
		case <-timeout:
			t.Fatalf("no poll from revision %d", revision)
		}
	}
}
