package growth

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	readyTimeout      = 30 * time.Second      // from the start of a router until it responds to pings
	readyPollInterval = 20 * time.Millisecond // between two pings of a router that has not responded yet
	stopTimeout       = 10 * time.Second      // from SIGTERM until the router is killed
	servingMessage    = "serving"             // message of the log line with the router's address
)

// node is a router that runs in a separate process.
type node struct {
	command *exec.Cmd
	address string        // address that clients connect to
	exited  chan struct{} // closed when the process has exited
}

// startNode writes a configuration file to dir, starts a router with it, and waits until the router is ready.
func startNode(ctx context.Context, o Options, dir string, number int, config string) (*node, error) {
	path := filepath.Join(dir, fmt.Sprintf("n%d.json", number))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, err
	}
	n := &node{command: o.NodeCommand(path), exited: make(chan struct{})}
	stderr, err := n.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	address := make(chan string, 1)
	go n.readLog(stderr, address)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	select {
	case n.address = <-address:
	case <-n.exited:
		return nil, fmt.Errorf("router %d exited during its start", number)
	case <-ctx.Done():
		n.stop()
		return nil, fmt.Errorf("router %d: %w", number, ctx.Err())
	}
	if err := n.awaitReady(ctx); err != nil {
		n.stop()
		return nil, fmt.Errorf("router %d: %w", number, err)
	}
	return n, nil
}

// readLog reads the router's log until the process exits, and sends the address from the line that contains it.
func (n *node) readLog(log io.Reader, address chan<- string) {
	defer close(n.exited)
	for scanner := bufio.NewScanner(log); scanner.Scan(); {
		var line struct {
			Message string `json:"msg"`
			Address string `json:"address"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Message == servingMessage {
			select {
			case address <- line.Address:
			default:
			}
		}
	}
	_, _ = io.Copy(io.Discard, log) // the scanner stops at a line that is too long
	_ = n.command.Wait()            // the exit code is not needed, as the calls to a router that dies fail
}

// awaitReady waits until the router responds to pings.
func (n *node) awaitReady(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address+"/ping", nil)
		if err != nil {
			return err
		}
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(readyPollInterval):
		case <-n.exited:
			return errors.New("the process exited")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// stop terminates the router. It kills the router if it doesn't exit within stopTimeout.
func (n *node) stop() {
	_ = n.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(stopTimeout):
		_ = n.command.Process.Kill()
		<-n.exited
	}
}
