package httprouter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

// requireServed makes one call and requires that it is served.
func requireServed(t *testing.T, client *fakeplatform.Client, id int) {
	t.Helper()
	if status, _ := client.Call(hexID(id), "safe", hexID(7), 15*time.Second); status != 200 {
		t.Errorf("status %d", status)
	}
}

// idleConns are connections that send nothing.
type idleConns []net.Conn

func (c *idleConns) open(t *testing.T, address string, count int) {
	t.Helper()
	for range count {
		conn, err := net.DialTimeout("tcp", address, 20*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		*c = append(*c, conn)
	}
}

func (c *idleConns) close() {
	for _, conn := range *c {
		_ = conn.Close()
	}
}

// TestIdleClientsLeaveDescriptorsForWorkersAndDiscovery opens more idle client connections than the process has
// descriptors, while the discovery server is down. It guards against idle clients that take the descriptors for
// connections to workers and to the discovery server. A further client must be served over a new connection to a
// worker, and the discovery server must be polled when it is back at a new address. There it lists the worker as
// draining and adds another one, which must then receive calls.
func TestIdleClientsLeaveDescriptorsForWorkersAndDiscovery(t *testing.T) {
	a := platformtest.StartWorker(t, &fakeplatform.Worker{ID: "a"})
	b := platformtest.StartWorker(t, &fakeplatform.Worker{ID: "b"})
	first := fakeplatform.EndpointsEvent(true, "a "+a.Addr()+" active")
	p := startProcess(t, configJSON(testsupport.UnusedAddress(t), initialSnapshot(first)))
	var idle idleConns
	defer idle.close()
	idle.open(t, p.address, 200)
	client := p.client()
	requireServed(t, client, 1)
	idle.open(t, p.address, 200)
	discovery := platformtest.StartDiscovery(t, first, fakeplatform.EndpointsEvent(false, "a "+a.Addr()+" leaving", "b "+b.Addr()+" active"))
	p.writeConfig(configJSON(discovery.Addr(), initialSnapshot(first)))
	p.sendSignal(syscall.SIGHUP)
	awaitPoll(t, discovery, 2) // the second event was applied
	client.HTTPClient.CloseIdleConnections()
	requireServed(t, client, 2)
	if len(b.Received()) == 0 {
		t.Error("the worker that the discovery server added received nothing")
	}
}

// TestServesFromInitialEndpoints checks that the router serves clients from the configured list of 4,000 workers while
// the discovery server is down. The time until the first response is logged and not asserted.
func TestServesFromInitialEndpoints(t *testing.T) {
	w := platformtest.StartWorker(t, &fakeplatform.Worker{ID: "w0"})
	list := []string{"w0 " + w.Addr() + " active"}
	for i := range 3999 {
		list = append(list, fmt.Sprintf("w%d %s leaving", i+1, w.Addr()))
	}
	config := configJSON(testsupport.UnusedAddress(t), initialSnapshot(fakeplatform.EndpointsEvent(true, list...)))
	startedAt := time.Now()
	p := startProcess(t, config)
	resp, err := http.Get("http://" + p.address + "/ping")
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	t.Logf("ready after %v, %d bytes of configuration", time.Since(startedAt), len(config))
	requireServed(t, p.client(), 1)
}

// callRequestWithoutKey returns the HTTP request of a call without an idempotency key.
func callRequestWithoutKey(id int) string {
	return callRequest(hexID(id), hexID(7), "safe", 15*time.Second, "body")
}

// TestProcessSignals sends SIGTERM right after the start, and SIGHUP and a second SIGTERM during a shutdown. It guards
// against signals that terminate the process before it has answered a call in flight, a call received in part, and a
// call that arrives later on an open connection.
func TestProcessSignals(t *testing.T) {
	release := make(chan struct{})
	w := &fakeplatform.Worker{ID: "a"}
	w.Handle = func(r fakeplatform.Request) {
		go func() {
			<-release
			w.HandleHealthy(r)
		}()
	}
	platformtest.StartWorker(t, w)
	initial := initialSnapshot(fakeplatform.EndpointsEvent(true, "a "+w.Addr()+" active"))
	t.Run("right after the start", func(t *testing.T) {
		p := startProcess(t, configJSON(testsupport.UnusedAddress(t), initial))
		p.sendSignal(syscall.SIGTERM)
		p.waitForLine("msg=stopped")
		p.requireExit()
	})
	p := startProcess(t, configJSON(testsupport.UnusedAddress(t), initial))
	var conns []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	_, _ = io.WriteString(conns[0], callRequestWithoutKey(1))
	testsupport.Await(t, w.Arrivals(), "the first call at the worker")
	_, _ = io.WriteString(conns[1], callRequestWithoutKey(2)[:60])
	p.sendSignal(syscall.SIGTERM)
	p.waitForLine("msg=stopping")
	p.sendSignal(syscall.SIGHUP)
	p.waitForLine("configuration reloaded")
	p.sendSignal(syscall.SIGTERM)
	_, _ = io.WriteString(conns[1], callRequestWithoutKey(2)[60:])
	_, _ = io.WriteString(conns[2], callRequestWithoutKey(3))
	close(release)
	for i, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("call %d: %v", i+1, err)
		}
		if resp.StatusCode != 200 {
			t.Errorf("call %d: status %d", i+1, resp.StatusCode)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if line := p.waitForLine("msg=stopped"); !strings.Contains(line, "unanswered=0") {
		t.Error(line)
	}
	p.requireExit()
}
