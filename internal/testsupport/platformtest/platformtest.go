// Package platformtest runs the fakes of package fakeplatform for the duration of a test.
package platformtest

import (
	"testing"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// StartDiscovery starts a discovery server that holds the events. It is stopped when the test ends.
func StartDiscovery(t testing.TB, events ...string) *fakeplatform.DiscoveryServer {
	t.Helper()
	server, err := fakeplatform.StartDiscoveryServer(events...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return server
}

// StartWorker starts a worker on a free loopback port and returns it. It is stopped when the test ends.
func StartWorker(t testing.TB, worker *fakeplatform.Worker) *fakeplatform.Worker {
	t.Helper()
	if err := worker.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Stop)
	return worker
}
