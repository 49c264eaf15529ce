package adminapi

import (
	"bufio"
	"encoding/json"
	"net"
	"path/filepath"
	"testing"
	"time"
)

// TestGoldenRequests checks the lines that Call sends, byte for byte.
func TestGoldenRequests(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		params any
		want   string
	}{
		"without params": {"gossip.status", nil, `{"jsonrpc":"2.0","id":1,"method":"gossip.status"}`},
		"with params": {"echo", map[string]int{"a": 2},
			`{"jsonrpc":"2.0","id":1,"method":"echo","params":{"a":2}}`},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s")
			listener, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			lines := make(chan string, 1)
			go func() { // ends when the listener is closed or the call has its response
				defer close(lines)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				line, _ := bufio.NewReader(conn).ReadString('\n')
				lines <- line
				_, _ = conn.Write([]byte(`{"jsonrpc":"2.0","id":1,"result":{"b":3}}` + "\n"))
			}()
			var result map[string]int
			if err := Call(path, c.method, c.params, &result, 5*time.Second); err != nil || result["b"] != 3 {
				t.Errorf("%v, %v", result, err)
			}
			if got := <-lines; got != c.want+"\n" {
				t.Errorf("sent %q, want %q", got, c.want)
			}
		})
	}
}

// TestGoldenResponses checks the lines that a server sends, byte for byte.
func TestGoldenResponses(t *testing.T) {
	conn, err := net.Dial("unix", startServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	for _, c := range []struct{ name, request, want string }{
		{"result", `{"jsonrpc":"2.0","id":7,"method":"echo","params":{"a":1}}`, `{"jsonrpc":"2.0","id":7,"result":{"a":1}}`},
		{"text id", `{"jsonrpc":"2.0","id":"x","method":"echo","params":[1]}`, `{"jsonrpc":"2.0","id":"x","result":[1]}`},
		{"method's error", `{"jsonrpc":"2.0","id":8,"method":"fail"}`,
			`{"jsonrpc":"2.0","id":8,"error":{"code":-32603,"message":"no such thing"}}`},
		{"panic", `{"jsonrpc":"2.0","id":9,"method":"panic"}`,
			`{"jsonrpc":"2.0","id":9,"error":{"code":-32603,"message":"internal error"}}`},
		{"unknown method", `{"jsonrpc":"2.0","id":10,"method":"none"}`,
			`{"jsonrpc":"2.0","id":10,"error":{"code":-32601,"message":"no method \"none\" here"}}`},
		{"another version", `{"jsonrpc":"1.0","id":11,"method":"echo"}`,
			`{"jsonrpc":"2.0","id":11,"error":{"code":-32600,"message":"\"jsonrpc\" must be \"2.0\", and \"method\" be given"}}`},
		{"no JSON", `{`, `{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"unexpected end of JSON input"}}`},
	} {
		if _, err := conn.Write([]byte(c.request + "\n")); err != nil {
			t.Fatal(err)
		}
		if got, err := reader.ReadString('\n'); err != nil || got != c.want+"\n" {
			t.Errorf("%s: %q, want %q (%v)", c.name, got, c.want, err)
		}
	}
}

// TestGoldenResponseWithoutResult checks that the result in the response is an empty object if the method returns none.
func TestGoldenResponseWithoutResult(t *testing.T) {
	s := &Server{methods: map[string]Method{"nothing": func(json.RawMessage) (any, error) { return nil, nil }}}
	resp, _ := s.handle([]byte(`{"jsonrpc":"2.0","id":1,"method":"nothing"}`))
	if raw, err := json.Marshal(resp); err != nil || string(raw) != `{"jsonrpc":"2.0","id":1,"result":{}}` {
		t.Errorf("%s, %v", raw, err)
	}
}
