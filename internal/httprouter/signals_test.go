package httprouter

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

// TestSignals checks that after SIGTERM new clients are served for a while, that all calls are answered, and that Run
// then returns no error. It also checks that SIGHUP changes the discovery server's address before and during the
// shutdown, and that SIGHUP with an invalid file changes nothing.
func TestSignals(t *testing.T) {
	h := startHarness(t, harnessOptions{unstarted: true})
	router := startRun(t, configJSON(h.discovery.Addr(), h.discovery.AllEvents()))
	h.client.BaseURL = "http://" + addressInLine(router.waitForLine("msg=serving"))
	if status := h.call("safe"); status != 200 {
		t.Errorf("status %d", status)
	}

	router.writeConfig(`{"name":"r","listen"`)
	router.sendSIGHUP()
	router.waitForLine("configuration reload failed")
	second := platformtest.StartDiscovery(t, `"x":1`, `"x":2`)
	router.writeConfig(configJSON(second.Addr(), h.discovery.AllEvents()))
	router.sendSIGHUP()
	if revision := <-second.Polls(); revision != 1 {
		t.Errorf("polled from revision %d at the new address", revision)
	}
	awaitPoll(t, second, 2) // the router must have the second event before the address changes again

	router.terminate()
	router.waitForLine("msg=stopping")
	last := platformtest.StartDiscovery(t, `"x":1`, `"x":2`, `"x":3`)
	router.writeConfig(configJSON(last.Addr(), h.discovery.AllEvents()))
	router.sendSIGHUP() // after SIGTERM, as workers may drain while the last calls are served
	if revision := testsupport.Await(t, last.Polls(), "a poll at the last address"); revision != 2 {
		t.Errorf("polled from revision %d at the last address", revision)
	}
	h.requireServedDuringShutdown()
	router.requireStop()
	h.requireInvariants()
}

// TestRapidReloads writes five configurations without a pause, each followed by SIGHUP. It guards against lost signals:
// the last configuration must be in force in the end.
func TestRapidReloads(t *testing.T) {
	first := platformtest.StartDiscovery(t, fakeplatform.EndpointsEvent(true))
	known := first.AllEvents()
	router := startRun(t, configJSON(first.Addr(), known))
	router.waitForLine("msg=serving")
	var last *fakeplatform.DiscoveryServer
	for range 5 {
		last = platformtest.StartDiscovery(t, `"x":1`)
		router.writeConfig(configJSON(last.Addr(), known))
		router.sendSIGHUP()
	}
	if revision := testsupport.Await(t, last.Polls(), "a poll at the last address"); revision != 1 {
		t.Errorf("polled from revision %d at the last address", revision)
	}
	router.terminate()
	router.requireStop()
}

// TestRapidReloadsUnderTraffic moves the discovery server five times within a second while clients make calls. It
// guards against failed calls, and against a router that loses its revision or the events of the last server.
func TestRapidReloadsUnderTraffic(t *testing.T) {
	const (
		configurations = 5
		pause          = 100 * time.Millisecond // between two configurations
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
			if h.makeCalls(2) < 6 {
				t.Error("a call was not served")
			}
			n++
		}
	}()
	var last *fakeplatform.DiscoveryServer
	for range configurations {
		last = platformtest.StartDiscovery(t, `"x":1`)
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
	h.requireServedWithoutDraining(h.workers[0], 4)
	run.terminate()
	run.requireStop()
	h.requireInvariants()
}

// requireServedDuringShutdown makes calls on new connections for half the time that the router accepts them after
// SIGTERM, and requires that some are served.
func (h *harness) requireServedDuringShutdown() {
	h.t.Helper()
	h.workers[0].WorkDuration = 0
	startedAt := time.Now()
	served := 0
	for time.Since(startedAt) < acceptAfterSIGTERM/2 {
		if h.call("safe") == 200 {
			served++
		}
		h.client.HTTPClient.CloseIdleConnections()
	}
	if served == 0 {
		h.t.Error("no client was served after SIGTERM")
	}
}
