package adminapi

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var testMethods = map[string]Method{
	"echo":  func(params json.RawMessage) (any, error) { return params, nil },
	"fail":  func(json.RawMessage) (any, error) { return nil, errors.New("no such thing") },
	"panic": func(json.RawMessage) (any, error) { panic("boom") },
}

// listenForTest serves testMethods on a socket and discards the log.
func listenForTest(path string) (*Server, error) {
	return Listen(path, testMethods, slog.New(slog.DiscardHandler))
}

// startServer serves testMethods until the test ends, and returns the socket's path.
func startServer(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	server, err := listenForTest(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return path
}

// TestInvalidLines checks that the response to each invalid line has the right error code, and that its connection and
// others stay usable.
func TestInvalidLines(t *testing.T) {
	path := startServer(t)
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	decoder := json.NewDecoder(conn)
	for _, c := range []struct {
		name, lines string
		code        int // 0 means no error
		id          string
	}{
		{"cut short", `{"jsonrpc":"2.0","id":7,"method":`, codeParseError, "null"},
		{"batch", `[1]`, codeInvalidRequest, "null"},
		{"no version", `{"id":"a","method":"echo"}`, codeInvalidRequest, `"a"`},
		{"null id", `{"jsonrpc":"2.0","id":null,"method":"none"}`, codeMethodNotFound, "null"},
		{"notification, then a request", `{"jsonrpc":"2.0","method":"fail"}` + "\n" + `{"jsonrpc":"2.0","id":1.5,"method":"fail"}`,
			codeInternalError, "1.5"},
		{"valid", `{"jsonrpc":"2.0","id":9,"method":"echo","params":{"a":1}}`, 0, "9"},
	} {
		if _, err := conn.Write([]byte(c.lines + "\n")); err != nil {
			t.Fatal(err)
		}
		var got struct {
			ID    json.RawMessage
			Error *Error
		}
		if err := decoder.Decode(&got); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		code := 0
		if got.Error != nil {
			code = got.Error.Code
		}
		if code != c.code || string(got.ID) != c.id {
			t.Errorf("%s: id %s, %v", c.name, got.ID, got.Error)
		}
	}
	if _, err := conn.Write([]byte(strings.Repeat("x", maxLineBytes+10))); err != nil {
		t.Log(err) // the connection may be closed while the line is sent
	}
	var got struct{ Error *Error }
	if err := decoder.Decode(&got); err == nil && (got.Error == nil || got.Error.Code != codeParseError) {
		t.Errorf("line that is too long: %+v", got)
	}
	if err := Call(path, "echo", 1, new(int), 5*time.Second); err != nil {
		t.Errorf("another connection: %v", err)
	}
}

// TestListenPath checks that Listen replaces a socket only if no process serves it, and no other file.
func TestListenPath(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	server, err := listenForTest(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	if _, err := listenForTest(path); !errors.Is(err, ErrSocketInUse) {
		t.Errorf("a second server on one path: %v", err)
	}
	server.Close()
	t.Run("stale socket", func(t *testing.T) {
		listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			t.Fatal(err)
		}
		listener.SetUnlinkOnClose(false)
		_ = listener.Close() // the file stays, as after a crash
		server, err := listenForTest(path)
		if err != nil {
			t.Fatal(err)
		}
		server.Close()
	})
	t.Run("file", func(t *testing.T) {
		file := filepath.Join(dir, "file")
		if err := os.WriteFile(file, []byte("kept"), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := listenForTest(file); !errors.Is(err, ErrNotSocket) {
			t.Errorf("a file that is not a socket: %v", err)
		}
		if raw, _ := os.ReadFile(file); string(raw) != "kept" {
			t.Error("a file was replaced")
		}
	})
	t.Run("path too long", func(t *testing.T) {
		_, err := listenForTest(filepath.Join(dir, strings.Repeat("x", 120)))
		if !errors.Is(err, ErrPathTooLong) || !strings.Contains(err.Error(), "at most 107") {
			t.Errorf("%v", err)
		}
	})
}
