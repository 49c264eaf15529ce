package adminapi

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestClientWaitsWhileItsRequestRuns guards against a client of the socket that fills the memory because it sends
// requests faster than they are handled.
func TestClientWaitsWhileItsRequestRuns(t *testing.T) {
	const mostAccepted = 16 << 20 // the largest buffers of both sockets
	running, release := make(chan struct{}), make(chan struct{})
	methods := map[string]Method{"wait": func(json.RawMessage) (any, error) {
		close(running)
		<-release
		return nil, nil
	}}
	path := filepath.Join(t.TempDir(), "s")
	server, err := Listen(path, methods, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(`{"jsonrpc":"2.0","method":"wait"}` + "\n")); err != nil {
		t.Fatal(err)
	}
	testsupport.Await(t, running, "the request")
	accepted := testsupport.Flood(t, conn, `{"jsonrpc":"2.0","method":"none"}`+"\n")
	close(release)
	if accepted > mostAccepted {
		t.Errorf("%d bytes were accepted while none were handled, want at most %d", accepted, mostAccepted)
	}
}

// TestConnectionsAreLimited guards against clients that fill the memory together, each with a line of the maximum
// length.
func TestConnectionsAreLimited(t *testing.T) {
	path := startServer(t)
	for range maxConnections {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if n, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes and %v on a connection beyond the limit, want its end", n, err)
	}
}
