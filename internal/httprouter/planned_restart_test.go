package httprouter

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

// roundTrip is the result of one request of a client.
type roundTrip struct {
	sentAt, endedAt time.Duration // since SIGTERM
	skipped         bool          // the router had closed the connection, so the client sent nothing
	status          int           // 0: the connection ended without a response
}

// TestShutdownAnswersEachRequestByItsDeadline guards against a planned restart that loses requests or is cut off by
// SIGKILL. For each of several longest deadlines, workers hang during the whole shutdown, and a client sends a request
// every 50 ms, on open connections and at first also on new ones. The process also gets further SIGTERMs, and SIGHUPs
// with an invalid file. Each request must be answered within allowedLateness of its deadline, or its connection must
// end within closeRaceWindow of the send. The process must exit before the earliest SIGKILL.
func TestShutdownAnswersEachRequestByItsDeadline(t *testing.T) {
	const interval = 50 * time.Millisecond
	stalls := startStallMeter(t)
	t.Run("deadlines", func(t *testing.T) {
		for _, deadline := range testedDeadlines {
			t.Run(deadline.String(), func(t *testing.T) {
				t.Parallel()
				worker := &fakeplatform.Worker{ID: "a"}
				worker.Handle = func(r fakeplatform.Request) {
					if r.Command != "exec" {
						go worker.HandleHealthy(r)
					}
				}
				platformtest.StartWorker(t, worker)
				initial := initialSnapshot(fakeplatform.EndpointsEvent(true, "a "+worker.Addr()+" active"))
				p := startProcess(t, configJSONWith(settingsWithDeadline(deadline), testsupport.UnusedAddress(t), initial))
				sigkill := earliestSIGKILL(deadline)
				var clients []*clientConn
				for range int((sigkill + interval) / interval) {
					clients = append(clients, openClientConn(t, p.address))
				}
				roundTrips := make([]roundTrip, len(clients))
				var wg sync.WaitGroup
				p.writeConfig("{")
				terminatedAt := time.Now().Add(interval) // the first request is sent before SIGTERM
				for i, client := range clients {
					wg.Go(func() {
						time.Sleep(time.Until(terminatedAt.Add(time.Duration(i-1) * interval)))
						class := []string{"safe", "keyed", "unsafe"}[i%3]
						if i%2 == 0 && time.Duration(i-1)*interval <= newConnPeriod {
							client = newClientConn(t, p.address)
						}
						roundTrips[i] = client.roundTrip(callRequestWithKey(i+1, class, deadline), terminatedAt)
					})
				}
				time.Sleep(time.Until(terminatedAt))
				p.sendSignal(syscall.SIGTERM)
				p.requireExitDespiteSignals(terminatedAt)
				exitedAt := time.Since(terminatedAt)
				wg.Wait()
				t.Logf("exited %v after SIGTERM, %v before SIGKILL, slack %v", exitedAt, sigkill-exitedAt, stalls.slack())
				if exitedAt > sigkill+stalls.slack() {
					t.Errorf("the process exited %v after SIGTERM, SIGKILL may come after %v", exitedAt, sigkill)
				}
				for i, trip := range roundTrips {
					trip.check(t, fmt.Sprintf("request %d", i+1), deadline, stalls.slack())
				}
			})
		}
	})
}

// roundTrip sends a request, unless the router has closed the connection, and waits for the response. start is the time
// of SIGTERM.
func (c *clientConn) roundTrip(request string, start time.Time) (r roundTrip) {
	if r.skipped = c.closedByRouter(); r.skipped {
		r.endedAt = time.Since(start)
		return r
	}
	r.sentAt = time.Since(start)
	_, _ = io.WriteString(c, request)
	r.status = c.readStatus()
	r.endedAt = time.Since(start)
	return r
}

// check fails the test unless the request was answered within the limits of the platform.
func (r roundTrip) check(t *testing.T, name string, deadline, slack time.Duration) {
	t.Helper()
	switch {
	case r.skipped && r.endedAt < clientSendPeriod:
		t.Errorf("%s: the connection was closed by %v while clients still send", name, r.endedAt)
	case r.skipped:
	case r.status == 0 && r.endedAt-r.sentAt > closeRaceWindow+slack:
		t.Errorf("%s: sent at %v, its connection ended at %v without a response", name, r.sentAt, r.endedAt)
	case r.status != 0 && r.endedAt > r.sentAt+deadline+allowedLateness+slack:
		t.Errorf("%s: sent at %v, answered with status %d at %v, deadline %v",
			name, r.sentAt, r.status, r.endedAt, deadline)
	}
}

// requireExitDespiteSignals sends SIGHUP and SIGTERM every 40 ms until the process exits, and requires status 0.
func (p *process) requireExitDespiteSignals(start time.Time) {
	p.t.Helper()
	exited := make(chan error, 1)
	go func() { exited <- p.cmd.Wait() }()
	for {
		select {
		case err := <-exited:
			if err != nil {
				p.t.Error(err)
			}
			return
		case <-time.After(40 * time.Millisecond):
		}
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			_ = p.cmd.Process.Signal(s) // the process may have exited
		}
		if time.Since(start) > 20*time.Second {
			p.t.Fatal("the process does not exit")
		}
	}
}
