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

// exchange is what came of one request of a client.
type exchange struct {
	sentAt, endedAt time.Duration // since SIGTERM
	skipped         bool          // the connection had been closed before, so the client sent nothing
	status          int           // 0: the connection ended without an answer
}

// TestShutdownAnswersEachRequestInItsOwnTime plays a planned restart of a process, for each longest deadline: workers
// hang all through it, requests come each 50 ms, on open connections and at first on new ones, further SIGTERMs come, and
// SIGHUPs with a file that can't be read. Each request is answered by its deadline, and the process exits by itself before SIGKILL may come.
func TestShutdownAnswersEachRequestInItsOwnTime(t *testing.T) {
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
				var clients []*openClient
				for range int((sigkill + interval) / interval) {
					clients = append(clients, openClientConn(t, p.address))
				}
				exchanges := make([]exchange, len(clients))
				var wg sync.WaitGroup
				p.writeConfig("{")
				terminatedAt := time.Now().Add(interval) // the first request comes before
				for i, client := range clients {
					wg.Go(func() {
						time.Sleep(time.Until(terminatedAt.Add(time.Duration(i-1) * interval)))
						class := []string{"safe", "keyed", "unsafe"}[i%3]
						if i%2 == 0 && time.Duration(i-1)*interval <= newClientsComeFor {
							client = newClientConn(t, p.address)
						}
						exchanges[i] = client.exchange(callRequestWithKey(i+1, class, deadline), terminatedAt)
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
				for i, e := range exchanges {
					e.check(t, fmt.Sprintf("request %d", i+1), deadline, stalls.slack())
				}
			})
		}
	})
}

// exchange sends a request, unless the router has closed the connection, and waits for its end.
func (c *openClient) exchange(request string, start time.Time) (e exchange) {
	if e.skipped = c.closedByRouter(); e.skipped {
		e.endedAt = time.Since(start)
		return e
	}
	e.sentAt = time.Since(start)
	_, _ = io.WriteString(c, request)
	e.status = c.readStatus()
	e.endedAt = time.Since(start)
	return e
}

// check fails the test unless the exchange keeps the platform's terms.
func (e exchange) check(t *testing.T, name string, deadline, slack time.Duration) {
	t.Helper()
	switch {
	case e.skipped && e.endedAt < clientsComeFor:
		t.Errorf("%s: the connection was closed by %v while clients come", name, e.endedAt)
	case e.skipped:
	case e.status == 0 && e.endedAt-e.sentAt > crossedClose+slack:
		t.Errorf("%s: sent at %v, its connection ended at %v with no answer", name, e.sentAt, e.endedAt)
	case e.status != 0 && e.endedAt > e.sentAt+deadline+acceptedLateness+slack:
		t.Errorf("%s: sent at %v and answered by %d at %v, its deadline was %v", name, e.sentAt, e.status, e.endedAt, deadline)
	}
}

// requireExitDespiteSignals sends SIGHUP and SIGTERM every 40 ms until the process exits, with status 0.
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
			_ = p.cmd.Process.Signal(s) // it may have exited meanwhile
		}
		if time.Since(start) > 20*time.Second {
			p.t.Fatal("the process does not exit")
		}
	}
}
