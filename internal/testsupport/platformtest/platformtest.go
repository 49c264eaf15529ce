// Package platformtest starts the fakes of package fakeplatform for the length of a test.
package platformtest

import (
	"testing"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// StartDiscovery starts a discovery server that has the events. It stops with the test.
func StartDiscovery(t testing.TB, events ...string) *fakeplatform.DiscoveryServer {
	t.Helper()
	server, err := fakeplatform.StartDiscoveryServer(events...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return server
}

// StartWorker starts a worker on a free port of the loopback interface. It stops with the test.
func StartWorker(t testing.TB, worker *fakeplatform.Worker) *fakeplatform.Worker {
	t.Helper()
	if err := worker.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Stop)
	return worker
}
