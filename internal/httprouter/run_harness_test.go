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

// routerConfigFile is the configuration file of a router under test.
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

// routerLog holds the log lines of a router.
type routerLog struct {
	t     *testing.T
	lines chan string
}

// readLog reads a router's log in the background until its end.
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

// waitForLine returns the next log line that contains text. It drops the lines before that one.
func (l routerLog) waitForLine(text string) string {
	l.t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case line, ok := <-l.lines:
			if !ok {
				l.t.Fatalf("the log ended without a line that contains %q", text)
			}
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			l.t.Fatalf("no log line that contains %q", text)
		}
	}
}

// runningRouter is a router that Run serves in the test's process.
type runningRouter struct {
	routerConfigFile
	routerLog
	t         *testing.T
	terminate context.CancelFunc // has the effect of SIGTERM
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

// addressInLine returns the value of the key "address" in a log line.
func addressInLine(line string) string {
	_, address, _ := strings.Cut(line, "address=")
	address, _, _ = strings.Cut(address, " ")
	return address
}

// requireStop waits until Run has returned and requires that it returned no error.
func (r *runningRouter) requireStop() {
	r.t.Helper()
	if err := testsupport.Await(r.t, r.result, "the end of the router"); err != nil {
		r.t.Error(err)
	}
}

// childConfigVariable is an environment variable with the path of a configuration file. If it is set, the test binary
// runs a router with that file in place of the tests.
const childConfigVariable = "HTTPROUTER_TEST_CONFIG"

func TestMain(m *testing.M) {
	if path := os.Getenv(childConfigVariable); path != "" {
		runAsProcess(path)
	}
	os.Exit(m.Run())
}

// runAsProcess is the main function of a router process. It limits the descriptors of the process to those of the
// configuration.
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

// process is a router in a separate process.
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
	const exitAtOnce = "GORACE=atexit_sleep_ms=0" // otherwise the race detector sleeps for a second before the exit
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

// requireExit waits until the process exits and requires status 0.
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
