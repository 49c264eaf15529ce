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
)

// child is a router as a process of its own, with no more descriptors than its configuration says.
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

func TestMain(m *testing.M) {
	if path := os.Getenv("PLATFORM_TEST_CONFIG"); path != "" {
		runAsProcess(path)
	}
	os.Exit(m.Run())
}

// process is a router in a process, and what it writes to its log.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	address string
	lines   chan string
}

func startProcess(t *testing.T, config string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: exec.Command(os.Args[0]), lines: make(chan string, 1<<12)}
	p.cmd.Env = append(os.Environ(), "PLATFORM_TEST_CONFIG="+path)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			p.lines <- in.Text()
		}
		close(p.lines)
	}()
	_, addr, _ := strings.Cut(p.waitForLine("msg=serving"), "address=")
	p.address, _, _ = strings.Cut(addr, " ")
	return p
}

// line waits for a line of the log.
func (p *process) waitForLine(of string) string {
	p.t.Helper()
	limit := time.After(30 * time.Second)
	for {
		select {
		case l, ok := <-p.lines:
			if !ok {
				p.t.Fatalf("the process ended without a line with %q", of)
			}
			if strings.Contains(l, of) {
				return l
			}
		case <-limit:
			p.t.Fatalf("no line with %q", of)
		}
	}
}

func (p *process) sendSignal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// ended waits for the process to end well.
func (p *process) requireExit() {
	p.t.Helper()
	done := make(chan error, 1)
	go func() { done <- p.cmd.Wait() }()
	if err := fakeplatform.Await(p.t, done, "the end of the process"); err != nil {
		p.t.Error(err)
	}
}

func (p *process) client() *fakeplatform.Client {
	return &fakeplatform.Client{Base: "http://" + p.address, Log: invariants.NewLog(), HTTP: &http.Client{Transport: &http.Transport{}}}
}

// closedPort is an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	return ln.Addr().String()
}

// TestIdleClientsLeaveDescriptorsToTheRouter: clients that say nothing come in numbers beyond all descriptors while the
// command channel is down. A usual client is served, over a new connection to a worker; and the channel is heard of
// when it is back, at a new address, with the worker's drain and another that takes its place.
func TestIdleClientsLeaveDescriptorsForWorkersAndDiscovery(t *testing.T) {
	var workers []*fakeplatform.Worker
	for _, id := range []string{"a", "b"} {
		w := &fakeplatform.Worker{ID: id}
		if err := w.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Stop)
		workers = append(workers, w)
	}
	first := fakeplatform.Nodes(true, "a "+workers[0].Addr()+" active")
	known := `{"cursor":1,"cmds":[{"cursor":1,` + first + `}]}`
	p := startProcess(t, configJSON(unusedAddress(t), known))
	idle := make([]net.Conn, 0, 400)
	defer func() {
		for _, nc := range idle {
			_ = nc.Close()
		}
	}()
	crowd := func() {
		for range cap(idle) / 2 {
			nc, err := net.DialTimeout("tcp", p.address, 20*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			idle = append(idle, nc)
		}
	}
	crowd()
	c := p.client()
	if status, _ := c.Call(fmt.Sprintf("%016x", 1), "safe", fmt.Sprintf("%016x", 7), 15*time.Second); status != 200 {
		t.Errorf("status %d", status)
	}
	crowd()
	channel, err := fakeplatform.StartChannel(first,
		fakeplatform.Nodes(false, "a "+workers[0].Addr()+" leaving", "b "+workers[1].Addr()+" active"))
	if err != nil {
		t.Fatal(err)
	}
	defer channel.Stop()
	path := strings.TrimPrefix(p.cmd.Env[len(p.cmd.Env)-1], "PLATFORM_TEST_CONFIG=")
	if err := os.WriteFile(path, []byte(configJSON(channel.Addr(), known)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.sendSignal(syscall.SIGHUP)
	for from := -1; from != 2; { // asked from 2: the second event was applied
		from = fakeplatform.Await(t, channel.Asked(), "a question")
	}
	c.HTTP.CloseIdleConnections()
	if status, _ := c.Call(fmt.Sprintf("%016x", 2), "safe", fmt.Sprintf("%016x", 7), 15*time.Second); status != 200 {
		t.Errorf("status %d", status)
	}
	if len(workers[1].Got()) == 0 {
		t.Error("the worker that the channel told of got nothing")
	}
}

// TestReadyByWhatIsKnown: with the channel down and a list of 4,000 workers, the router takes clients and routes by what
// the configuration holds. The time until then is told, not judged.
func TestServesFromInitialEndpoints(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w0"}
	if err := w.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Stop)
	list := []string{"w0 " + w.Addr() + " active"}
	for i := range 3999 {
		list = append(list, fmt.Sprintf("w%d %s leaving", i+1, w.Addr()))
	}
	config := configJSON(unusedAddress(t), `{"cursor":1,"cmds":[{"cursor":1,`+fakeplatform.Nodes(true, list...)+`}]}`)
	began := time.Now()
	p := startProcess(t, config)
	resp, err := http.Get("http://" + p.address + "/ping")
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	t.Logf("ready after %v, %d bytes of configuration", time.Since(began), len(config))
	if status, _ := p.client().Call(fmt.Sprintf("%016x", 1), "safe", fmt.Sprintf("%016x", 7), 15*time.Second); status != 200 {
		t.Errorf("status %d", status)
	}
}

// TestSignalsToAProcess: SIGTERM right after the start, and again and with SIGHUP during a stop, ends the process well and
// with every call answered: one in flight, one half sent, and one that comes on an open connection afterwards.
func TestProcessSignals(t *testing.T) {
	release := make(chan struct{})
	w := &fakeplatform.Worker{ID: "a"}
	w.Act = func(r fakeplatform.Request) {
		go func() {
			<-release
			w.Healthy(r)
		}()
	}
	if err := w.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Stop)
	known := `{"cursor":1,"cmds":[{"cursor":1,` + fakeplatform.Nodes(true, "a "+w.Addr()+" active") + `}]}`
	t.Run("right after the start", func(t *testing.T) {
		p := startProcess(t, configJSON(unusedAddress(t), known))
		p.sendSignal(syscall.SIGTERM)
		p.waitForLine("msg=stopped")
		p.requireExit()
	})
	p := startProcess(t, configJSON(unusedAddress(t), known))
	request := func(n int) string {
		return fmt.Sprintf("POST /call/%016x/call HTTP/1.1\r\nHost: a\r\nX-Class: safe\r\nX-Correlation-Id: %016x\r\n"+
			"X-Deadline-Ms: 15000\r\nX-Attrs: memory_mb:512\r\nContent-Length: 4\r\n\r\nbody", 7, n)
	}
	var conns []net.Conn
	var answers []*bufio.Reader
	for range 3 {
		nc, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		conns, answers = append(conns, nc), append(answers, bufio.NewReader(nc))
	}
	_, _ = io.WriteString(conns[0], request(1))
	fakeplatform.Await(t, w.Came(), "word of the first call at the worker")
	_, _ = io.WriteString(conns[1], request(2)[:60])
	p.sendSignal(syscall.SIGTERM)
	p.waitForLine("msg=stopping")
	p.sendSignal(syscall.SIGHUP)
	p.waitForLine("new configuration")
	p.sendSignal(syscall.SIGTERM)
	_, _ = io.WriteString(conns[1], request(2)[60:])
	_, _ = io.WriteString(conns[2], request(3))
	close(release)
	for i, in := range answers {
		_ = conns[i].SetReadDeadline(time.Now().Add(20 * time.Second))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("call %d: %v", i+1, err)
		}
		if resp.StatusCode != 200 {
			t.Errorf("call %d: status %d", i+1, resp.StatusCode)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if l := p.waitForLine("msg=stopped"); !strings.Contains(l, "lost=0") {
		t.Error(l)
	}
	p.requireExit()
}
