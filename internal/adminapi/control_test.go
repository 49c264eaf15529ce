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

var methods = map[string]Method{
	"echo":  func(p json.RawMessage) (any, error) { return p, nil },
	"fail":  func(json.RawMessage) (any, error) { return nil, errors.New("no such thing") },
	"panic": func(json.RawMessage) (any, error) { panic("boom") },
}

func server(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, methods, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return path
}

func TestCalls(t *testing.T) {
	path := server(t)
	var got []int
	if err := Call(path, "echo", []int{1, 2}, &got, 5*time.Second); err != nil || len(got) != 2 {
		t.Errorf("%v, %v", got, err)
	}
	for method, text := range map[string]string{"fail": "no such thing", "panic": "internal error", "none": `no method "none"`} {
		if err := Call(path, method, nil, &got, 5*time.Second); err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%s: %v", method, err)
		}
	}
	if err := Call(path+"x", "echo", nil, &got, time.Second); err == nil {
		t.Error("a socket that is not there")
	}
}

// TestBadLines: each is answered by its code, and the connection and the others go on.
func TestBadLines(t *testing.T) {
	path := server(t)
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	dec := json.NewDecoder(c)
	for _, v := range []struct {
		line string
		code int
		id   string
	}{
		{`{"jsonrpc":"2.0","id":7,"method":`, parseError, "null"},
		{`[1]`, invalidRequest, "null"},
		{`{"id":"a","method":"echo"}`, invalidRequest, `"a"`},
		{`{"jsonrpc":"2.0","id":null,"method":"none"}`, noMethod, "null"},
		{`{"jsonrpc":"2.0","method":"fail"}` + "\n" + `{"jsonrpc":"2.0","id":1.5,"method":"fail"}`, internalError, "1.5"},
		{`{"jsonrpc":"2.0","id":9,"method":"echo","params":{"a":1}}`, 0, "9"},
	} {
		if _, err := c.Write([]byte(v.line + "\n")); err != nil {
			t.Fatal(err)
		}
		var got struct {
			ID    json.RawMessage
			Error *Error
		}
		if err := dec.Decode(&got); err != nil {
			t.Fatalf("%s: %v", v.line, err)
		}
		if code := 0; got.Error != nil && got.Error.Code != v.code || got.Error == nil && v.code != code || string(got.ID) != v.id {
			t.Errorf("%s: id %s, %v", v.line, got.ID, got.Error)
		}
	}
	if _, err := c.Write([]byte(strings.Repeat("x", maxLine+10))); err != nil {
		t.Log(err) // it may be cut off while it is sent
	}
	var got struct{ Error *Error }
	if err := dec.Decode(&got); err == nil && (got.Error == nil || got.Error.Code != parseError) {
		t.Errorf("an endless line: %+v", got)
	}
	if err := Call(path, "echo", 1, new(int), 5*time.Second); err != nil {
		t.Errorf("others: %v", err)
	}
}

func TestThePathOfTheSocket(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	log := slog.New(slog.DiscardHandler)
	s, err := Listen(path, methods, log)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	if _, err := Listen(path, methods, log); err == nil {
		t.Error("two servers on one path")
	}
	s.Close()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	_ = l.Close() // left behind, as by a death
	if s, err = Listen(path, methods, log); err != nil {
		t.Errorf("a socket left behind: %v", err)
	} else {
		s.Close()
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, []byte("kept"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(file, methods, log); err == nil {
		t.Error("a file was taken for a socket")
	}
	if raw, _ := os.ReadFile(file); string(raw) != "kept" {
		t.Error("a file was replaced")
	}
	if _, err := Listen(filepath.Join(dir, strings.Repeat("x", 120)), methods, log); err == nil ||
		!strings.Contains(err.Error(), "at most 107") {
		t.Errorf("a path too long: %v", err)
	}
}
