package httprouter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
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

// routerConfigFile is the configuration file of a router.
type routerConfigFile struct {
	t    *testing.T
	path string
}

func newConfigFile(t *testing.T, config string) routerConfigFile {
	t.Helper()
	f := routerConfigFile{t: t, path: filepath.Join(t.TempDir(), "config.json")}
	f.writeConfig(config)
	return f
}

func (f routerConfigFile) writeConfig(config string) {
	f.t.Helper()
	if err := os.WriteFile(f.path, []byte(config), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// routerLog is the log of a router, line by line.
type routerLog struct {
	t     *testing.T
	lines chan string
}

// readLog reads a router's log until its end.
func readLog(t *testing.T, output io.Reader) routerLog {
	l := routerLog{t: t, lines: make(chan string, 1<<12)}
	go func() {
		for scanner := bufio.NewScanner(output); scanner.Scan(); {
			l.lines <- scanner.Text()
		}
		close(l.lines)
	}()
	return l
}

// waitForLine returns the first log line from now on that contains text.
func (l routerLog) waitForLine(text string) string {
	l.t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case line, ok := <-l.lines:
			if !ok {
				l.t.Fatalf("the router ended without a line with %q", text)
			}
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			l.t.Fatalf("no line with %q", text)
		}
	}
}

// runningRouter is Run in the test's own process.
type runningRouter struct {
	routerConfigFile
	routerLog
	t         *testing.T
	terminate context.CancelFunc // as SIGTERM does
	result    chan error         // of Run
}

func startRun(t *testing.T, config string) *runningRouter {
	t.Helper()
	logReader, logWriter := io.Pipe()
	t.Cleanup(func() { _ = logWriter.Close() })
	r := &runningRouter{t: t, routerConfigFile: newConfigFile(t, config), routerLog: readLog(t, logReader), result: make(chan error, 1)}
	var ctx context.Context
	ctx, r.terminate = context.WithCancel(context.Background())
	t.Cleanup(r.terminate)
	go func() { r.result <- Run(ctx, r.path, slog.New(slog.NewTextHandler(logWriter, nil))) }()
	return r
}

func (r *runningRouter) sendSIGHUP() {
	r.t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		r.t.Fatal(err)
	}
}

// addressInLine is the value of the key "address" in a log line.
func addressInLine(line string) string {
	_, address, _ := strings.Cut(line, "address=")
	address, _, _ = strings.Cut(address, " ")
	return address
}

// requireStop waits until Run has returned, with no error.
func (r *runningRouter) requireStop() {
	r.t.Helper()
	if err := testsupport.Await(r.t, r.result, "the end of the router"); err != nil {
		r.t.Error(err)
	}
}

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
	routerConfigFile
	routerLog
	t       *testing.T
	cmd     *exec.Cmd
	address string
}

func startProcess(t *testing.T, config string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(os.Args[0]), routerConfigFile: newConfigFile(t, config)}
	const exitAtOnce = "GORACE=atexit_sleep_ms=0" // the race detector else sleeps for a second at the end
	p.cmd.Env = append(os.Environ(), childConfigVariable+"="+p.path, exitAtOnce)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	p.routerLog = readLog(t, stderr)
	p.address = addressInLine(p.waitForLine("msg=serving"))
	return p
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
