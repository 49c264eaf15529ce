package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// router is one process of the router under test.
type router struct {
	name   string
	addr   string
	path   string // of the configuration
	rec    *record
	cmd    *exec.Cmd
	ended  chan struct{}
	mu     sync.Mutex
	wanted bool // its end is expected
}

// runCommand returns the command of the deploy file that starts a router.
func runCommand(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindSubmatch(raw)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(m[1]), nil
}

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// The limits of each router.
var (
	memoryMB = 192
	sockets  = 512
)

// oneCore is whether each router runs on one core only.
var oneCore = false

// configOf returns a router's configuration.
func configOf(name, listen string, seed int, ch *channel, settings string) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
"channel":%q,"known":%s,"settings":%s}`, name, listen, seed, memoryMB, sockets, ch.addr, ch.all(), settings)
}

// startRouter starts a router with the command of the deploy file.
func startRouter(root, dir, name, listen, config string, rec *record) (*router, error) {
	r := &router{name: name, addr: listen, path: filepath.Join(dir, name+".json"), rec: rec}
	if err := os.WriteFile(r.path, []byte(config), 0o600); err != nil {
		return nil, err
	}
	return r, r.start(root, dir)
}

func (r *router) start(root, dir string) error {
	command, err := runCommand(root)
	if err != nil {
		return err
	}
	r.cmd = exec.Command("/bin/sh", "-c", command)
	r.cmd.Dir = root
	temporary, err := os.MkdirTemp(dir, r.name)
	if err != nil {
		return err
	}
	r.cmd.Env = append(os.Environ(), "GW_NAME="+r.name, "GW_LISTEN="+r.addr, "GW_CONFIG="+r.path, "TMPDIR="+temporary)
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := r.cmd.StderrPipe()
	if err != nil {
		return err
	}
	start := r.cmd.Start
	if oneCore {
		start = func() error { return startOnOneCore(r.cmd) }
	}
	if err := start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	r.rec.add("router %s starts at %s, pid %d", r.name, r.addr, r.cmd.Process.Pid)
	go func() {
		raw, _ := io.ReadAll(log)
		for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
			if strings.Contains(line, "level=WARN") || strings.Contains(line, "level=ERROR") || strings.Contains(line, "panic") {
				r.rec.add("router %s logged: %s", r.name, line)
			}
		}
		err := r.cmd.Wait()
		r.mu.Lock()
		if !r.wanted {
			r.rec.violation("router %s ended by itself: %v", r.name, err)
		}
		r.mu.Unlock()
		r.rec.add("router %s ended: %v", r.name, err)
		close(r.ended)
	}()
	return r.awaitReady()
}

// awaitReady waits until the router answers GET /ping.
func (r *router) awaitReady() error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if response, err := client.Get("http://" + r.addr + "/ping"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.rec.add("router %s is ready", r.name)
				return nil
			}
		}
		select {
		case <-r.ended:
			return errors.New("router ended at its start")
		default:
		}
	}
	return errors.New("router is not ready after 30 s")
}

func (r *router) signal(s syscall.Signal) {
	r.rec.add("router %s gets %v", r.name, s)
	_ = r.cmd.Process.Signal(s)
}

func (r *router) expectEnd() {
	r.mu.Lock()
	r.wanted = true
	r.mu.Unlock()
}

// kill ends the process and waits for its end.
func (r *router) kill() {
	r.expectEnd()
	_ = r.cmd.Process.Kill()
	<-r.ended
}

// startRouters starts routers n1, n2, ... and returns them with a group of clients for each. On an error it returns the
// routers that it has started.
func startRouters(root, dir string, rec *record, ch *channel, count int, settings string) (routers []*router, groups []*clients, err error) {
	for i := range count {
		listen, err := freeAddr()
		if err != nil {
			return routers, groups, err
		}
		name := fmt.Sprintf("n%d", i+1)
		r, err := startRouter(root, dir, name, listen, configOf(name, listen, 1000+i, ch, settings), rec)
		if r != nil && r.ended != nil {
			routers = append(routers, r)
		}
		if err != nil {
			return routers, groups, err
		}
		groups = append(groups, &clients{addr: listen, rec: rec})
	}
	return routers, groups, nil
}
