package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/transport/listen"
)

const (
	readTimeout     = 30 * time.Second       // maximum wait for more bytes of an incomplete request
	shutdownTimeout = 100 * time.Millisecond // maximum time that Close waits for running requests
	probeTimeout    = time.Second            // for the connection that tests whether a socket is served
	maxPathBytes    = 107                    // size of sun_path (unix(7)) without the terminating NUL
	maxConnections  = 64                     // open at once; each may hold a line of maxLineBytes
)

// Errors of Listen; test for them with errors.Is.
var (
	ErrPathTooLong = errors.New("the path is too long for a Unix socket")
	ErrNotSocket   = errors.New("the file is not a socket and was not replaced")
	ErrSocketInUse = errors.New("another process answers on the socket")
)

// Method handles one request. It must be safe for concurrent use. Its result is marshalled as JSON; a nil result
// becomes an empty object.
type Method func(params json.RawMessage) (any, error)

// Server serves the API on one socket until Close.
type Server struct {
	listener *listen.Listener
	methods  map[string]Method // read only
	logger   *slog.Logger

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	closed  bool
	serving sync.WaitGroup // one for each connection
}

// Listen serves the methods on a socket at path. It replaces a stale socket, on which no process listens any more. It
// fails with ErrSocketInUse if another process serves the socket, and with ErrNotSocket if the file is not a socket.
// methods must not be changed afterwards.
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
	s := &Server{listener: listener, methods: methods, logger: logger, conns: map[net.Conn]struct{}{}}
	if err := listener.Serve(s.accept); err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("adminapi: %w", err)
	}
	return s, nil
}

// removeStaleSocket removes the socket at path if no process listens on it.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil // usually no such file; listening reports any other problem
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

// Close stops the server. It waits at most shutdownTimeout for running requests.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.SetReadDeadline(time.Now()) // ends the wait for a request
	}
	s.mu.Unlock()
	force := time.AfterFunc(shutdownTimeout, s.closeConnections)
	s.serving.Wait()
	force.Stop()
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// accept serves a new connection, or closes it if there are too many.
func (s *Server) accept(conn net.Conn) {
	s.mu.Lock()
	full := len(s.conns) >= maxConnections
	if !full {
		s.conns[conn] = struct{}{}
	}
	s.mu.Unlock()
	if full {
		s.logger.Warn("admin connection closed: too many are open", "limit", maxConnections)
		_ = conn.Close()
		return
	}
	s.serving.Go(func() { s.serve(conn) })
}

// serve answers the requests of a connection, one after the other, until the connection ends.
func (s *Server) serve(conn net.Conn) {
	defer s.remove(conn)
	reader := newLineReader(conn, readTimeout)
	for s.mayWaitForRequest(conn) && reader.waitForLine() == nil {
		if !s.serveRequest(conn, reader) {
			return
		}
	}
}

// mayWaitForRequest removes the read deadline of the previous request. It reports false if the server is closed.
func (s *Server) mayWaitForRequest(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && conn.SetReadDeadline(time.Time{}) == nil
}

func (s *Server) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serveRequest reads one request from a connection and writes the response. It reports whether another request may
// follow, which is not so after a read error.
func (s *Server) serveRequest(conn net.Conn, reader *lineReader) bool {
	line, err := reader.readLine()
	if err != nil {
		if errors.Is(err, errLineTooLong) {
			writeResponse(conn, response{Version: protocolVersion, ID: nullID, Error: &Error{codeParseError, err.Error()}})
		}
		return false
	}
	if resp, respond := s.handle(line); respond {
		writeResponse(conn, resp)
	}
	return true
}

// handle executes one request. respond is false for a valid notification. If the method panics, the response is an
// error.
func (s *Server) handle(line []byte) (resp response, respond bool) {
	resp = response{Version: protocolVersion, ID: nullID}
	var req request
	if err := json.Unmarshal(line, &req); err != nil {
		resp.Error = &Error{codeParseError, err.Error()}
		if json.Valid(line) {
			resp.Error.Code = codeInvalidRequest
		}
		return resp, true
	}
	if req.ID != nil {
		resp.ID = req.ID
	}
	if req.Version != protocolVersion || req.Method == "" {
		resp.Error = &Error{codeInvalidRequest, `"jsonrpc" must be "2.0", and "method" be given`}
		return resp, true
	}
	respond = req.ID != nil
	method, found := s.methods[req.Method]
	if !found {
		resp.Error = &Error{codeMethodNotFound, fmt.Sprintf("no method %q here", req.Method)}
		return resp, respond
	}
	resp.Result, resp.Error = s.callMethod(req, method)
	return resp, respond
}

// callMethod calls a method and converts its error or panic to an Error.
func (s *Server) callMethod(req request, method Method) (result any, failure *Error) {
	defer func() {
		if p := recover(); p != nil {
			s.logger.Error("admin method panicked", "method", req.Method, "panic", p)
			result, failure = nil, &Error{codeInternalError, "internal error"}
		}
	}()
	result, err := method(req.Params)
	if err != nil {
		return nil, &Error{codeInternalError, err.Error()}
	}
	if result == nil {
		result = struct{}{}
	}
	return result, nil
}

// writeResponse sends a response, or an error response if the result cannot be encoded. Write errors are ignored,
// because a broken connection is closed anyway.
func writeResponse(conn net.Conn, resp response) {
	raw, err := json.Marshal(resp)
	if err != nil {
		raw, _ = json.Marshal(response{Version: protocolVersion, ID: resp.ID,
			Error: &Error{codeInternalError, err.Error()}})
	}
	_ = writeLine(conn, raw)
}
