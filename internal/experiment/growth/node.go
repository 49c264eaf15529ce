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
	readyTimeout  = 30 * time.Second      // from the start of a router until it answers
	readyInterval = 20 * time.Millisecond // between two requests that find out whether it does
	stopTimeout   = 10 * time.Second      // from SIGTERM to the end of a router
	servingLine   = "serving"             // message of the log line that has the router's address
)

// node is one router in a process of its own.
type node struct {
	command *exec.Cmd
	address string        // where clients connect
	ended   chan struct{} // closed when the process has ended
}

// startNode starts a router with a configuration file in dir, and waits until it answers.
func startNode(ctx context.Context, o Options, dir string, number int, config string) (*node, error) {
	path := filepath.Join(dir, fmt.Sprintf("n%d.json", number))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, err
	}
	n := &node{command: o.NodeCommand(path), ended: make(chan struct{})}
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
	case <-n.ended:
		return nil, fmt.Errorf("router %d ended at its start", number)
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

// readLog reads the router's log until the process ends, and sends the address from the line that has it.
func (n *node) readLog(log io.Reader, address chan<- string) {
	defer close(n.ended)
	for scanner := bufio.NewScanner(log); scanner.Scan(); {
		var line struct {
			Message string `json:"msg"`
			Address string `json:"address"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Message == servingLine {
			select {
			case address <- line.Address:
			default:
			}
		}
	}
	_, _ = io.Copy(io.Discard, log) // after a line that is too long
	_ = n.command.Wait()            // how it ended is of no interest: a router that dies serves nothing
}

// awaitReady waits until the router answers.
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
		case <-time.After(readyInterval):
		case <-n.ended:
			return errors.New("the process ended")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// stop terminates the router, and kills it if it doesn't end.
func (n *node) stop() {
	_ = n.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(stopTimeout):
		_ = n.command.Process.Kill()
		<-n.ended
	}
}
