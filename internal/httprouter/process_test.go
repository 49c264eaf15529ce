package httprouter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// childConfigVariable is the environment variable that has the test binary run a router, by the configuration file that
// it names, in place of the tests.
const childConfigVariable = "HTTPROUTER_TEST_CONFIG"

func TestMain(m *testing.M) {
	if path := os.Getenv(childConfigVariable); path != "" {
		runAsProcess(path)
	}
	os.Exit(m.Run())
}

// runAsProcess is the main function of a router's process, which gets no more descriptors than its configuration says.
func runAsProcess(path string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	cfg, err := LoadConfig(path)
	if err == nil {
		limit := uint64(cfg.MaxDescriptors)
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit})
	}
	if err == nil {
		err = Run(ctx, path, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// process is a router in a process of its own.
type process struct {
	t          *testing.T
	cmd        *exec.Cmd
	configPath string
	address    string
	logLines   chan string
}

func startProcess(t *testing.T, config string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(os.Args[0]), configPath: filepath.Join(t.TempDir(), "config.json"),
		logLines: make(chan string, 1<<12)}
	p.writeConfig(config)
	const exitAtOnce = "GORACE=atexit_sleep_ms=0" // the race detector else sleeps for a second at the end
	p.cmd.Env = append(os.Environ(), childConfigVariable+"="+p.configPath, exitAtOnce)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	go func() {
		for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
			p.logLines <- scanner.Text()
		}
		close(p.logLines)
	}()
	p.address = addressInLine(p.waitForLine("msg=serving"))
	return p
}

func (p *process) writeConfig(config string) {
	p.t.Helper()
	if err := os.WriteFile(p.configPath, []byte(config), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// waitForLine returns the first log line from now on that contains text.
func (p *process) waitForLine(text string) string {
	p.t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case line, ok := <-p.logLines:
			if !ok {
				p.t.Fatalf("the process ended without a line with %q", text)
			}
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			p.t.Fatalf("no line with %q", text)
		}
	}
}

func (p *process) sendSignal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// requireExit waits until the process exits, with status 0.
func (p *process) requireExit() {
	p.t.Helper()
	exited := make(chan error, 1)
	go func() { exited <- p.cmd.Wait() }()
	if err := testsupport.Await(p.t, exited, "the end of the process"); err != nil {
		p.t.Error(err)
	}
}

func (p *process) client() *fakeplatform.Client {
	return &fakeplatform.Client{BaseURL: "http://" + p.address, Records: invariants.NewLog(), HTTPClient: &http.Client{Transport: &http.Transport{}}}
}

// requireServed makes one call.
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

// TestIdleClientsLeaveDescriptorsForWorkersAndDiscovery opens more idle client connections than there are descriptors
// while the discovery server is down. A usual client is served, over a new connection to a worker; and the discovery
// server is polled once it is back, at a new address, with the worker's drain and another worker in its place.
func TestIdleClientsLeaveDescriptorsForWorkersAndDiscovery(t *testing.T) {
	a := startWorker(t, &fakeplatform.Worker{ID: "a"})
	b := startWorker(t, &fakeplatform.Worker{ID: "b"})
	first := fakeplatform.EndpointsEvent(true, "a "+a.Addr()+" active")
	p := startProcess(t, configJSON(unusedAddress(t), initialSnapshot(first)))
	var idle idleConns
	defer idle.close()
	idle.open(t, p.address, 200)
	client := p.client()
	requireServed(t, client, 1)
	idle.open(t, p.address, 200)
	discovery := startDiscovery(t, first, fakeplatform.EndpointsEvent(false, "a "+a.Addr()+" leaving", "b "+b.Addr()+" active"))
	p.writeConfig(configJSON(discovery.Addr(), initialSnapshot(first)))
	p.sendSignal(syscall.SIGHUP)
	for revision := -1; revision != 2; { // polled from revision 2: the second event was applied
		revision = testsupport.Await(t, discovery.Polls(), "a poll")
	}
	client.HTTPClient.CloseIdleConnections()
	requireServed(t, client, 2)
	if len(b.Received()) == 0 {
		t.Error("the worker that the discovery server added got nothing")
	}
}

// TestServesFromInitialEndpoints checks that, with the discovery server down and 4,000 workers in the configuration, the
// router accepts clients and forwards by the configured list. The time until then is logged and not asserted.
func TestServesFromInitialEndpoints(t *testing.T) {
	w := startWorker(t, &fakeplatform.Worker{ID: "w0"})
	list := []string{"w0 " + w.Addr() + " active"}
	for i := range 3999 {
		list = append(list, fmt.Sprintf("w%d %s leaving", i+1, w.Addr()))
	}
	config := configJSON(unusedAddress(t), initialSnapshot(fakeplatform.EndpointsEvent(true, list...)))
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

// rawRequest is an HTTP request for a call.
func rawRequest(id int) string {
	return fmt.Sprintf("POST /call/%s/call HTTP/1.1\r\nHost: a\r\nX-Class: safe\r\nX-Correlation-Id: %s\r\n"+
		"X-Deadline-Ms: 15000\r\nX-Attrs: memory_mb:512\r\nContent-Length: 4\r\n\r\nbody", hexID(7), hexID(id))
}

// TestProcessSignals sends SIGTERM right after the start, and SIGTERM again with SIGHUP during a shutdown. The process
// exits with status 0 and with every call answered: one in flight, one half received, and one that arrives on an open
// connection afterwards.
func TestProcessSignals(t *testing.T) {
	release := make(chan struct{})
	w := &fakeplatform.Worker{ID: "a"}
	w.Handle = func(r fakeplatform.Request) {
		go func() {
			<-release
			w.HandleHealthy(r)
		}()
	}
	startWorker(t, w)
	initial := initialSnapshot(fakeplatform.EndpointsEvent(true, "a "+w.Addr()+" active"))
	t.Run("right after the start", func(t *testing.T) {
		p := startProcess(t, configJSON(unusedAddress(t), initial))
		p.sendSignal(syscall.SIGTERM)
		p.waitForLine("msg=stopped")
		p.requireExit()
	})
	p := startProcess(t, configJSON(unusedAddress(t), initial))
	var conns []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	_, _ = io.WriteString(conns[0], rawRequest(1))
	testsupport.Await(t, w.Arrivals(), "the first call at the worker")
	_, _ = io.WriteString(conns[1], rawRequest(2)[:60])
	p.sendSignal(syscall.SIGTERM)
	p.waitForLine("msg=stopping")
	p.sendSignal(syscall.SIGHUP)
	p.waitForLine("configuration reloaded")
	p.sendSignal(syscall.SIGTERM)
	_, _ = io.WriteString(conns[1], rawRequest(2)[60:])
	_, _ = io.WriteString(conns[2], rawRequest(3))
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
