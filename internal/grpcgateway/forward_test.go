package grpcgateway

import (
	"fmt"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	own "github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// spout is a worker that answers a stream by messages as fast as windows allow, until told to stop.
type spout struct {
	message []byte
	left    atomic.Int64
}

type pour struct {
	s      *spout
	reader own.MessageReader
}

func (s *spout) Open(*http2.Stream) http2.Receiver {
	return &pour{s: s, reader: own.MessageReader{MaxSize: 1 << 20}}
}
func (s *spout) GoAway(*http2.Conn, http2.ErrCode)         {}
func (s *spout) ConnClosed(*http2.Conn, error)             {}
func (p *pour) Headers(*http2.Stream, []hpack.Field, bool) {}
func (p *pour) Closed(*http2.Stream, error)                {}
func (p *pour) Sent(st *http2.Stream, _ int)               { p.fill(st) }
func (p *pour) Data(st *http2.Stream, b []byte, end bool) {
	st.Consume(len(b))
	if end {
		_ = st.WriteHeaders([]hpack.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}, false)
		p.fill(st)
	}
}

// fill writes until something has to wait.
func (p *pour) fill(st *http2.Stream) {
	for {
		switch left := p.s.left.Add(-1); {
		case left < -1:
			return
		case left == -1:
			_ = st.WriteTrailers([]hpack.Field{{Name: "grpc-status", Value: "0"}})
			return
		}
		if n, err := st.Write(p.s.message, false); err != nil || n < len(p.s.message) {
			return
		}
	}
}

// gulp is a client that counts messages.
type gulp struct {
	count own.MessageCounter
	done  chan string
}

func (g *gulp) Open(*http2.Stream) http2.Receiver { return nil }
func (g *gulp) GoAway(*http2.Conn, http2.ErrCode) {}
func (g *gulp) ConnClosed(*http2.Conn, error)     {}
func (g *gulp) Sent(*http2.Stream, int)           {}
func (g *gulp) Closed(_ *http2.Stream, err error) {
	if err != nil {
		g.done <- err.Error()
	}
}
func (g *gulp) Headers(_ *http2.Stream, f []hpack.Field, end bool) {
	if end {
		st, _ := own.FieldValue(f, "grpc-status")
		g.done <- st
	}
}
func (g *gulp) Data(s *http2.Stream, p []byte, _ bool) {
	_ = g.count.Add(p)
	s.Consume(len(p))
}

// BenchmarkForwardedMessage passes messages of 1 kB on one stream: worker, gateway and client are in this
// process, so its allocations are those of all three.
func BenchmarkForwardedMessage(b *testing.B) {
	body, err := proto.Marshal(&inference.ModelStreamInferResponse{InferResponse: &inference.ModelInferResponse{
		ModelName: "m", RawOutputContents: [][]byte{make([]byte, 1000)}}})
	if err != nil {
		b.Fatal(err)
	}
	sp := &spout{message: append(own.AppendPrefix(nil, len(body), false), body...)}
	server, err := http2.Listen("tcp", "127.0.0.1:0", http2.Config{}, func(*http2.Conn) http2.Handler { return sp })
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	file := filepath.Join(b.TempDir(), "w.json")
	if err := config.WriteWorkers(file, config.WorkerList{Workers: []config.Worker{{ID: "w", Address: server.Addr().String()}}}); err != nil {
		b.Fatal(err)
	}
	cfg := config.Defaults()
	cfg.Listen, cfg.Workers.File, cfg.Reports = "127.0.0.1:0", file, "none"
	cfg.Classes = []config.Class{{Name: "q", Aim: 1e6, Deadline: 1e6, Effect: "safe"}}
	cfg.DefaultModel = &config.Model{Class: "q", MemoryMB: 1, Lanes: 1}
	g, err := Start(&cfg, Options{Drain: time.Second})
	if err != nil {
		b.Fatal(err)
	}
	defer g.Stop()
	sp.left.Store(int64(b.N))
	c := &gulp{done: make(chan string, 2)}
	conn, err := http2.Dial("tcp", g.Addr(), time.Second, http2.Config{}, c)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	raw, err := proto.Marshal(&inference.ModelInferRequest{ModelName: "m"})
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(sp.message)))
	b.ReportAllocs()
	b.ResetTimer()
	if _, err := conn.Open(c, []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
		{Name: ":path", Value: oip.StreamInfer}, {Name: ":authority", Value: "a"}, {Name: "te", Value: "trailers"},
		{Name: "content-type", Value: "application/grpc"}}, append(own.AppendPrefix(nil, len(raw), false), raw...), true); err != nil {
		b.Fatal(err)
	}
	if st := <-c.done; st != "0" || c.count.Messages != b.N {
		b.Fatal(fmt.Sprint("status ", st, ", ", c.count.Messages, " messages of ", b.N))
	}
}
