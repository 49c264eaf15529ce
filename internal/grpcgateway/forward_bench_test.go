package grpcgateway

import (
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// connEvents is an http2.Handler, to embed, for peers that open no streams and don't look at how connections end.
type connEvents struct{}

func (connEvents) StreamOpened(*http2.Stream) http2.Receiver { return nil }
func (connEvents) GoAway(*http2.Conn, http2.ErrCode)         {}
func (connEvents) ConnClosed(*http2.Conn, error)             {}

// floodingWorker answers a stream by a number of equal messages, as fast as flow control allows.
type floodingWorker struct {
	connEvents
	message   []byte
	remaining atomic.Int64
}

// floodedStream is a stream at a floodingWorker.
type floodedStream struct {
	worker *floodingWorker
	reader grpc.MessageReader
}

func (w *floodingWorker) StreamOpened(*http2.Stream) http2.Receiver {
	return &floodedStream{worker: w, reader: grpc.MessageReader{MaxSize: 1 << 20}}
}

func (s *floodedStream) Headers(*http2.Stream, []hpack.Field, bool) {}
func (s *floodedStream) Closed(*http2.Stream, error)                {}
func (s *floodedStream) Sent(stream *http2.Stream, _ int)           { s.fill(stream) }
func (s *floodedStream) Data(stream *http2.Stream, data []byte, end bool) {
	stream.Consume(len(data))
	if end {
		_ = stream.WriteHeaders([]hpack.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}, false)
		s.fill(stream)
	}
}

// fill writes until flow control blocks, or all messages and the trailers have been sent.
func (s *floodedStream) fill(stream *http2.Stream) {
	for {
		switch remaining := s.worker.remaining.Add(-1); {
		case remaining < -1:
			return
		case remaining == -1:
			_ = stream.WriteTrailers([]hpack.Field{{Name: "grpc-status", Value: "0"}})
			return
		}
		if n, err := stream.Write(s.worker.message, false); err != nil || n < len(s.worker.message) {
			return
		}
	}
}

// countingClient counts messages, and sends the stream's status, or its error, to done.
type countingClient struct {
	connEvents
	counter grpc.MessageCounter
	done    chan string
}

func (c *countingClient) Sent(*http2.Stream, int) {}
func (c *countingClient) Closed(_ *http2.Stream, err error) {
	if err != nil {
		c.done <- err.Error()
	}
}
func (c *countingClient) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if end {
		status, _ := grpc.FieldValue(fields, "grpc-status")
		c.done <- status
	}
}
func (c *countingClient) Data(stream *http2.Stream, data []byte, _ bool) {
	_ = c.counter.Add(data)
	stream.Consume(len(data))
}

// requestFields is the header of a request.
func requestFields(path string) []hpack.Field {
	return []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: ":authority", Value: "a"}, {Name: "te", Value: "trailers"}, {Name: "content-type", Value: "application/grpc"}}
}

// prefixedMessage marshals a message with its gRPC prefix.
func prefixedMessage(tb testing.TB, message proto.Message) []byte {
	tb.Helper()
	body, err := proto.Marshal(message)
	if err != nil {
		tb.Fatal(err)
	}
	return append(grpc.AppendPrefix(nil, len(body), false), body...)
}

// startFloodedGateway starts a gateway in front of one worker, which end with the benchmark.
func startFloodedGateway(b *testing.B, worker *floodingWorker) *Gateway {
	b.Helper()
	server, err := http2.Listen("tcp", "127.0.0.1:0", http2.Config{}, func(*http2.Conn) http2.Handler { return worker })
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	cfg := config.Defaults()
	cfg.Listen, cfg.LoadReports = "127.0.0.1:0", "none"
	cfg.Workers.File = filepath.Join(b.TempDir(), "w.json")
	list := config.WorkerList{Workers: []config.Worker{{ID: "w", Address: server.Addr().String()}}}
	if err := config.WriteWorkers(cfg.Workers.File, list); err != nil {
		b.Fatal(err)
	}
	cfg.Classes = []config.Class{{Name: "q", LatencyObjective: 1e6, Deadline: 1e6, Idempotency: "safe"}}
	cfg.DefaultModel = &config.Model{Class: "q", MemoryMB: 1, ConcurrencyPerInstance: 1}
	gateway, err := Start(&cfg, Options{DrainTimeout: time.Second})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { gateway.Stop() })
	return gateway
}

// BenchmarkForwardedMessage passes messages of 1 kB on one stream: worker, gateway and client are in this
// process, so its allocations are those of all three.
func BenchmarkForwardedMessage(b *testing.B) {
	worker := &floodingWorker{message: prefixedMessage(b, &inference.ModelStreamInferResponse{
		InferResponse: &inference.ModelInferResponse{ModelName: "m", RawOutputContents: [][]byte{make([]byte, 1000)}}})}
	gateway := startFloodedGateway(b, worker)
	worker.remaining.Store(int64(b.N))
	client := &countingClient{done: make(chan string, 2)}
	conn, err := http2.Dial("tcp", gateway.Addr(), time.Second, http2.Config{}, client)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	request := prefixedMessage(b, &inference.ModelInferRequest{ModelName: "m"})
	b.SetBytes(int64(len(worker.message)))
	b.ReportAllocs()
	b.ResetTimer()
	if _, err := conn.OpenStream(client, requestFields(oip.StreamInfer), request, true); err != nil {
		b.Fatal(err)
	}
	if status := <-client.done; status != "0" || client.counter.Messages != b.N {
		b.Fatalf("status %s, %d messages of %d", status, client.counter.Messages, b.N)
	}
}
