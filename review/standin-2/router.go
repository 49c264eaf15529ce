package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// router is one real router: a process that the command `run` of the deploy file starts.
type router struct {
	name, address string
	process       *exec.Cmd
	ended         chan struct{}
	hasEnded      atomic.Bool
}

// runCommand returns `run` of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("the deploy file has no run")
	}
	return string(found[1]), nil
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer socket.Close()
	return socket.Addr().String(), nil
}

// limits are the limits of a router's machine.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// startRouter starts a router and returns once it has answered GET /ping.
func startRouter(c *environment, name, settings, channelAddress, known string, machine limits) (*router, error) {
	command, err := runCommand(c.root)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": address, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": machine,
		"channel": channelAddress, "known": json.RawMessage(known), "settings": json.RawMessage(settings),
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.folder, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	r := &router{name: name, address: address, ended: make(chan struct{})}
	r.process = exec.Command("/bin/sh", "-c", command)
	r.process.Dir = c.root
	r.process.Env = append(os.Environ(), "GW_NAME="+name, "GW_LISTEN="+address, "GW_CONFIG="+path)
	r.process.Stdout, r.process.Stderr = log, log
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.process.Start(); err != nil {
		return nil, err
	}
	go func() {
		r.process.Wait()
		r.hasEnded.Store(true)
		close(r.ended)
	}()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline) && !r.hasEnded.Load(); {
		if response, err := client.Get("http://" + address + "/ping"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return r, nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.kill()
	return nil, errors.New("router " + name + " is not ready")
}

// kill ends the router's process.
func (r *router) kill() {
	r.process.Process.Kill()
	<-r.ended
}

// statusLine returns a line of /proc/PID/status, such as VmRSS.
func (r *router) statusLine(name string) string {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	for line := range bytes.Lines(text) {
		if value, found := strings.CutPrefix(string(line), name+":"); found {
			return strings.TrimSpace(value)
		}
	}
	return "-"
}

// watch records the use of processor time and memory once a second.
func (r *router) watch(to *record, seconds int) {
	for range seconds {
		before := r.cpuTime()
		time.Sleep(time.Second)
		to.add("router %s used %v of processor time, VmRSS %s", r.name, r.cpuTime()-before, r.statusLine("VmRSS"))
	}
}

// cpuTime returns the processor time that the router has used.
func (r *router) cpuTime() time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.process.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	var user, system int64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * 10 * time.Millisecond
}
