package fakeplatform

import (
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"
)

// TestWorkerStartsAgainWhileProcessesStart guards against a worker or a discovery server that can't listen on its address
// again at once ("address already in use"): a process that is being started holds a copy of the closed listener until its
// exec.
func TestWorkerStartsAgainWhileProcessesStart(t *testing.T) {
	const (
		restarts = 300
		starters = 3
	)
	stop := make(chan struct{})
	var starting sync.WaitGroup
	for range starters {
		starting.Go(func() { startProcesses(t, stop) })
	}
	defer starting.Wait()
	defer close(stop)
	address := "127.62.0.1:0" // no client has this address, so none takes the port meanwhile
	for range restarts {
		worker := &Worker{ID: "w"}
		if err := worker.Start(address); err != nil {
			t.Fatal(err)
		}
		address = worker.Addr()
		worker.Stop()
		server, err := StartDiscoveryServerAt(address)
		if err != nil {
			t.Fatal(err)
		}
		server.Suspend()
		if err := server.Resume(); err != nil {
			t.Fatal(err)
		}
		server.Stop()
	}
}

// startProcesses starts one process after another until stop is closed.
func startProcesses(t *testing.T, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if err := exec.Command(os.Args[0], "-test.run=^$").Run(); err != nil {
			t.Error(err)
			return
		}
	}
}

// TestListenReportsAddressInUse tests that an address in use by another listener is still an error.
func TestListenReportsAddressInUse(t *testing.T) {
	first, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	started := time.Now()
	if second, err := listen(first.Addr().String()); err == nil {
		_ = second.Close()
		t.Fatal("two listeners on one address")
	}
	if waited := time.Since(started); waited < listenRetryPeriod {
		t.Errorf("gave up after %v, want %v at least", waited, listenRetryPeriod)
	}
}
