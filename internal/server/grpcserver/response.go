package grpcserver

import (
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// unsupportedMediaType is the HTTP status of the response to a request whose content type is not gRPC's.
const unsupportedMediaType = "415"

// responseHeader returns the fields that every gRPC response begins with.
func responseHeader() []hpack.Field {
	return []hpack.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}
}

// Start implements router.Client. head is the worker's metadata, a []hpack.Field, or nil.
func (s *stream) Start(head any) {
	metadata, _ := head.([]hpack.Field)
	s.mu.Lock()
	if s.headerSent || s.ended {
		s.mu.Unlock()
		return
	}
	s.headerSent = true
	s.mu.Unlock()
	_ = s.http2Stream.WriteHeaders(append(responseHeader(), metadata...), false)
}

// WriteBody implements router.Client.
func (s *stream) WriteBody(p []byte, onWritten func(n int)) int {
	s.mu.Lock()
	s.notifyWritten = onWritten
	s.mu.Unlock()
	n, err := s.http2Stream.Write(p, false)
	if err != nil {
		return len(p) // the stream is closed: nothing is queued and onWritten will not be called
	}
	return n
}

// Finish implements router.Client.
func (s *stream) Finish(answer router.FinalAnswer) { s.completeRequest(FinalStatus(answer)) }

// completeRequest ends the request in flight. After a request of a ModelStreamInfer with status OK it serves the
// stream's next request; otherwise it ends the stream.
func (s *stream) completeRequest(status grpc.Status, trailers []hpack.Field) {
	if status.Code != grpc.OK || !s.streaming() {
		s.end(status, trailers)
		return
	}
	s.mu.Lock()
	s.requestInFlight, s.cancel = false, nil
	s.mu.Unlock()
	s.serveNext(nil)
}

// end ends the stream with a status. Only the first call has an effect.
func (s *stream) end(status grpc.Status, trailers []hpack.Field) {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	headerSent := s.headerSent
	s.mu.Unlock()
	s.server.removeStream(s)
	fields := append(status.Trailers(), trailers...)
	if headerSent {
		_ = s.http2Stream.WriteTrailers(fields)
		return
	}
	header := responseHeader()
	if status.Code == grpc.Unimplemented {
		header = append(header, hpack.Field{Name: "grpc-accept-encoding", Value: grpc.AcceptedEncodings})
	}
	_ = s.http2Stream.WriteHeaders(append(header, fields...), true)
}
