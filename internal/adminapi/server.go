package adminapi

import (
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

const (
	idleTimeout     = 30 * time.Second       // of a connection without a request
	shutdownTimeout = 100 * time.Millisecond // most that Close waits for requests
	probeTimeout    = time.Second            // for finding out whether a socket is served
	maxPathBytes    = 107                    // sun_path of unix(7), less its terminating zero
)

// Errors of Listen, to be told apart by errors.Is.
var (
	ErrPathTooLong = errors.New("the path is too long for a socket")
	ErrNotSocket   = errors.New("the file is no socket, and is left alone")
	ErrSocketInUse = errors.New("another process answers on the socket")
)

// Method carries out one request. It may be called from several goroutines at once. Its result is marshalled as JSON; a
// nil result is an empty object.
type Method func(params json.RawMessage) (any, error)

// Server serves the API on one socket. Close ends it.
type Server struct {
	listener *listen.Listener
	loop     netpoll.EventLoop
	methods  map[string]Method // read only
	logger   *slog.Logger
}

// Listen serves the methods on a socket at path. A socket that a process left behind there is replaced; one that is
// served (ErrSocketInUse), or a file of another kind (ErrNotSocket), is not. methods must not change afterwards.
func Listen(path string, methods map[string]Method, logger *slog.Logger) (*Server, error) {
	if len(path) > maxPathBytes {
		return nil, fmt.Errorf("adminapi: %w: %d bytes, at most %d: %s", ErrPathTooLong, len(path), maxPathBytes, path)
	}
	if err := removeStaleSocket(path); err != nil {
		return nil, fmt.Errorf("adminapi: %w", err)
	}
	listener, err := listen.Open("unix", path)
	if err != nil {
		return nil, fmt.Errorf("adminapi: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("adminapi: %w", err)
	}
	s := &Server{listener: listener, methods: methods, logger: logger}
	s.loop, err = netpoll.NewEventLoop(s.serveRequest)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	listener.Serve(s.loop)
	return s, nil
}

// removeStaleSocket removes a socket that nothing listens on.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil // listening will tell what is wrong, if anything is
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("%w: %s", ErrNotSocket, path)
	}
	if conn, err := net.DialTimeout("unix", path, probeTimeout); err == nil {
		_ = conn.Close()
		return fmt.Errorf("%w: %s", ErrSocketInUse, path)
	}
	return os.Remove(path)
}

// Close ends the server, after at most shutdownTimeout for requests that are running.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.loop.Shutdown(ctx)
	_ = s.listener.Close()
}

// serveRequest reads one request of a connection and answers it. An error closes the connection.
func (s *Server) serveRequest(_ context.Context, conn netpoll.Connection) error {
	_ = conn.SetReadTimeout(idleTimeout)
	line, err := readLine(conn.Reader())
	if err != nil {
		if errors.Is(err, errLineTooLong) {
			writeResponse(conn, response{Version: protocolVersion, ID: nullID, Error: &Error{codeParseError, err.Error()}})
		}
		_ = conn.Close()
		return err
	}
	out, respond := s.handle(line) // which keeps nothing of the line
	_ = conn.Reader().Release()    // or a connection's requests would all be kept until it ends
	if respond {
		writeResponse(conn, out)
	}
	return nil
}

// handle carries one request out. respond is false for a notification. A panic of the method becomes an error.
func (s *Server) handle(line []byte) (out response, respond bool) {
	out = response{Version: protocolVersion, ID: nullID}
	var in request
	if err := json.Unmarshal(line, &in); err != nil {
		out.Error = &Error{codeParseError, err.Error()}
		if json.Valid(line) {
			out.Error.Code = codeInvalidRequest
		}
		return out, true
	}
	if in.ID != nil {
		out.ID = in.ID
	}
	if in.Version != protocolVersion || in.Method == "" {
		out.Error = &Error{codeInvalidRequest, `"jsonrpc" must be "2.0", and "method" be given`}
		return out, true
	}
	respond = in.ID != nil
	method, found := s.methods[in.Method]
	if !found {
		out.Error = &Error{codeMethodNotFound, fmt.Sprintf("no method %q here", in.Method)}
		return out, respond
	}
	out.Result, out.Error = s.callMethod(in, method)
	return out, respond
}

// callMethod calls a method.
func (s *Server) callMethod(in request, method Method) (result any, failure *Error) {
	defer func() {
		if p := recover(); p != nil {
			s.logger.Error("admin method panicked", "method", in.Method, "panic", p)
			result, failure = nil, &Error{codeInternalError, "internal error"}
		}
	}()
	result, err := method(in.Params)
	if err != nil {
		return nil, &Error{codeInternalError, err.Error()}
	}
	if result == nil {
		result = struct{}{}
	}
	return result, nil
}

// writeResponse sends a response, or the error of its encoding. A connection that cannot be written to ends by itself.
func writeResponse(conn netpoll.Connection, out response) {
	raw, err := json.Marshal(out)
	if err != nil {
		raw, _ = json.Marshal(response{Version: protocolVersion, ID: out.ID, Error: &Error{codeInternalError, err.Error()}})
	}
	_ = writeLine(conn, raw)
}
