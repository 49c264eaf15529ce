package grpcserver

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// TestTimeoutCountsFromTheHeader: a grpc-timeout runs from the arrival of the stream's header, however late the request's
// message arrives, and for all requests of a stream.
func TestTimeoutCountsFromTheHeader(t *testing.T) {
	const limit, pause = time.Hour, 50 * time.Millisecond
	request := inferRequest(servedModel)
	for name, test := range map[string]struct {
		path  string
		parts [][]byte // of the request's bytes, each sent after a pause
	}{
		"late message":     {oip.Infer, [][]byte{request}},
		"message in parts": {oip.Infer, [][]byte{request[:3], request[3:6], request[6:]}},
		"several requests": {oip.StreamInfer, [][]byte{request, request, request}},
	} {
		t.Run(name, func(t *testing.T) {
			s, upstream := startServerAndUpstream(t)
			reader := newResponseReader()
			conn := dial(t, s, reader)
			open, err := conn.OpenStream(reader, requestHeader(test.path, hpack.Field{Name: "grpc-timeout", Value: grpc.FormatTimeout(limit)}), nil, false)
			if err != nil {
				t.Fatal(err)
			}
			waitForHeader(t, s)
			arrivedBefore := time.Now()
			for i, part := range test.parts {
				time.Sleep(pause)
				sentAt := time.Now()
				writePart(t, open, part, i == len(test.parts)-1)
				if test.path == oip.StreamInfer || i == len(test.parts)-1 {
					if left, most := <-upstream.left, limit-sentAt.Sub(arrivedBefore); left > most || left <= 0 {
						t.Errorf("part %d: %v left, at most %v expected", i, left, most)
					}
				}
			}
			reader.wait(t)
		})
	}
}

// waitForHeader waits until the server has read the header of a stream.
func waitForHeader(t *testing.T, s *Server) {
	t.Helper()
	testsupport.WaitUntil(t, "the header is read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.streams) > 0
	})
}

func writePart(t *testing.T, s *http2.Stream, part []byte, end bool) {
	t.Helper()
	if _, err := s.Write(part, end); err != nil {
		t.Fatal(err)
	}
}
