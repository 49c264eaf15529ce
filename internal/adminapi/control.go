// Package adminapi is the operators' socket of a running program: JSON-RPC 2.0 (jsonrpc.org/specification), one
// object a line, over a Unix stream socket that only its owner may open. Requests of one connection are answered
// in turn. Batches are not taken.
package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/transport/listen"
)

// Codes of JSON-RPC 2.0, section 5.1.
const (
	parseError     = -32700
	invalidRequest = -32600
	noMethod       = -32601
	internalError  = -32603
)

const (
	maxLine  = 1 << 20
	idleTime = 30 * time.Second
	maxPath  = 107 // sun_path of unix(7), less its end
)

// Method answers one call. It may be called from several goroutines.
type Method func(params json.RawMessage) (any, error)

type request struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id,omitempty"`
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params,omitempty"`
}

type response struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Result  any             `json:"result,omitempty"`
	Error   *Error          `json:"error,omitempty"`
}

// Error is an answer that is an error.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func (e *Error) Error() string { return e.Message }

// Server answers on one socket.
type Server struct {
	ln   *listen.Listener
	loop netpoll.EventLoop
}

// Listen opens the socket at path. A socket that was left behind there is replaced; one that somebody answers on,
// or a file of another kind, is an error.
func Listen(path string, methods map[string]Method, log *slog.Logger) (*Server, error) {
	if len(path) > maxPath {
		return nil, fmt.Errorf("control: the socket's path has %d bytes, at most %d: %s", len(path), maxPath, path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("control: %s is no socket, and is left alone", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			_ = c.Close()
			return nil, fmt.Errorf("control: another process answers on %s", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	ln, err := listen.Open("unix", path)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = ln.Close()
		return nil, fmt.Errorf("control: %w", err)
	}
	s := &Server{ln: ln}
	s.loop, err = netpoll.NewEventLoop(func(_ context.Context, c netpoll.Connection) error {
		_ = c.SetReadTimeout(idleTime)
		line, err := readLine(c.Reader())
		if err != nil {
			if errors.Is(err, errLong) {
				write(c, response{Version: "2.0", ID: json.RawMessage("null"), Error: &Error{parseError, err.Error()}})
			}
			_ = c.Close()
			return err
		}
		out, owed := answer(line, methods, log) // which keeps nothing of the line
		_ = c.Reader().Release()                // or a connection's requests would all be held until it ends
		if owed {
			write(c, out)
		}
		return nil
	})
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	ln.Serve(s.loop)
	return s, nil
}

// Close ends the socket.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = s.loop.Shutdown(ctx)
	_ = s.ln.Close()
}

var errLong = fmt.Errorf("a line of more than %d bytes", maxLine)

// readLine waits for a whole line and returns it without its end. The bytes are the reader's until the next call.
func readLine(r netpoll.Reader) ([]byte, error) {
	for seen := 0; ; {
		if _, err := r.Peek(seen + 1); err != nil { // waits for more than was looked at
			return nil, err
		}
		n := r.Len()
		b, err := r.Peek(n)
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(b[seen:], '\n'); i >= 0 {
			line, err := r.Next(seen + i + 1)
			return line[:seen+i], err
		}
		if seen = n; seen > maxLine {
			return nil, errLong
		}
	}
}

// answer carries one request out. A notification is owed nothing. No panic of a method crosses the connection.
func answer(line []byte, methods map[string]Method, log *slog.Logger) (out response, owed bool) {
	out = response{Version: "2.0", ID: json.RawMessage("null")}
	var q request
	if err := json.Unmarshal(line, &q); err != nil {
		out.Error = &Error{parseError, err.Error()}
		if json.Valid(line) {
			out.Error.Code = invalidRequest
		}
		return out, true
	}
	if q.ID != nil {
		out.ID = q.ID
	}
	m, known := methods[q.Method]
	owed = q.ID != nil // set before the method runs: one that panics is answered too
	switch {
	case q.Version != "2.0" || q.Method == "":
		out.Error = &Error{invalidRequest, `"jsonrpc" must be "2.0", and "method" be given`}
		return out, true
	case !known:
		out.Error = &Error{noMethod, fmt.Sprintf("no method %q here", q.Method)}
	default:
		defer func() {
			if p := recover(); p != nil {
				log.Error("control method panicked", "method", q.Method, "panic", p)
				out.Result, out.Error = nil, &Error{internalError, "internal error"}
			}
		}()
		v, err := m(q.Params)
		if err != nil {
			out.Error = &Error{internalError, err.Error()}
		} else if out.Result = v; v == nil {
			out.Result = struct{}{}
		}
	}
	return out, owed
}

func write(c netpoll.Connection, out response) {
	raw, err := json.Marshal(out)
	if err != nil {
		raw, _ = json.Marshal(response{Version: "2.0", ID: out.ID, Error: &Error{internalError, err.Error()}})
	}
	if _, err := c.Writer().WriteBinary(append(raw, '\n')); err == nil {
		_ = c.Writer().Flush()
	}
}

// Call makes one call on the socket at path and reads its result into out.
func Call(path, method string, params, out any, limit time.Duration) error {
	c, err := netpoll.DialConnection("unix", path, limit)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadTimeout(limit)
	q := request{Version: "2.0", ID: json.RawMessage("1"), Method: method}
	if params != nil {
		if q.Params, err = json.Marshal(params); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(q)
	if err != nil {
		return err
	}
	if _, err = c.Writer().WriteBinary(append(raw, '\n')); err == nil {
		err = c.Writer().Flush()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	line, err := readLine(c.Reader())
	if err != nil {
		return fmt.Errorf("%s: no answer: %w", path, err)
	}
	var got struct {
		Result json.RawMessage `json:"result"`
		Error  *Error          `json:"error"`
	}
	if err := json.Unmarshal(line, &got); err != nil {
		return fmt.Errorf("%s: the answer is no JSON-RPC: %w", path, err)
	}
	if got.Error != nil {
		return fmt.Errorf("%s: %w", path, got.Error)
	}
	return json.Unmarshal(got.Result, out)
}
