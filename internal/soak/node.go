package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout  = 30 * time.Second // for a router that starts, until it answers
	readyInterval = 10 * time.Millisecond
	keptLogLines  = 400 // of each router, for the timeline of a run that failed
)

// node is one router. It runs one process at a time and keeps its name and address over restarts.
type node struct {
	schedule  Schedule
	platform  *platform
	router    int
	path      string // of the configuration file
	command   func(configPath string) *exec.Cmd
	followers sync.WaitGroup // goroutines that read the log of a process and wait for its end

	mu          sync.Mutex
	startCount  int
	process     *exec.Cmd
	ended       chan struct{} // closed when the process has ended
	endExpected bool          // whether the end of the process is not a crash
	crashes     []string
	log         []string
}

// start starts the router's process and waits until it answers.
func (n *node) start() error {
	n.mu.Lock()
	config := n.schedule.routerConfig(n.platform, n.router, n.startCount)
	n.startCount++
	n.mu.Unlock()
	if err := os.WriteFile(n.path, []byte(config), 0o600); err != nil {
		return err
	}
	command := n.command(n.path)
	output, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.ended, n.endExpected = command, ended, false
	n.mu.Unlock()
	n.followers.Go(func() { n.followProcess(command, output, ended) })
	return n.awaitReady(ended)
}

// followProcess keeps the last lines of a process's log, and records a crash if the process ends unexpectedly.
func (n *node) followProcess(command *exec.Cmd, output io.Reader, ended chan struct{}) {
	for scanner := bufio.NewScanner(output); scanner.Scan(); {
		n.mu.Lock()
		n.log = append(n.log, scanner.Text())
		n.log = n.log[max(len(n.log)-keptLogLines, 0):]
		n.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, output) // the scanner stops at a line that is too long
	err := command.Wait()
	n.mu.Lock()
	if !n.endExpected {
		n.crashes = append(n.crashes, fmt.Sprintf("%s ended: %v", routerName(n.router), err))
	}
	n.mu.Unlock()
	close(ended)
}

// awaitReady waits until the router answers.
func (n *node) awaitReady(ended <-chan struct{}) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	url := "http://" + n.platform.block.router(n.router) + "/ping"
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		if response, err := client.Get(url); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ended:
			return errors.New("soak: " + routerName(n.router) + " ended at its start")
		case <-time.After(readyInterval):
		}
	}
	return errors.New("soak: " + routerName(n.router) + " is not ready")
}

// signal sends a signal to the process, which may already have ended.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(s)
}

// pid returns the id of the process, or 0 before the first start.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.Process.Pid
}

// expectEnd records that the process is expected to end, and returns a channel that is closed when it has ended.
func (n *node) expectEnd() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endExpected = true
	return n.ended
}

// kill sends SIGKILL and waits until the process has ended.
func (n *node) kill() {
	ended := n.expectEnd()
	n.signal(syscall.SIGKILL)
	<-ended
}

// reload writes the configuration with the current address of the discovery server and sends SIGHUP.
func (n *node) reload() error {
	n.mu.Lock()
	config := n.schedule.routerConfig(n.platform, n.router, n.startCount)
	n.mu.Unlock()
	temporary := n.path + ".new"
	if err := os.WriteFile(temporary, []byte(config), 0o600); err != nil {
		return err
	}
	if err := os.Rename(temporary, n.path); err != nil {
		return err
	}
	n.signal(syscall.SIGHUP)
	return nil
}

// report returns the crashes of the router's processes, and the last lines of the log.
func (n *node) report() (crashes, log []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.crashes), slices.Clone(n.log)
}

// newNode returns the node of a router. Its configuration file is written to dir.
func newNode(s Schedule, p *platform, router int, dir string, command func(string) *exec.Cmd) *node {
	return &node{schedule: s, platform: p, router: router, command: command,
		path: filepath.Join(dir, fmt.Sprintf("%s.json", routerName(router)))}
}
