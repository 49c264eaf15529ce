//go:build compare

package grpcgateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/testsupport"
	wire "github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// The roles of the test binary's child processes, by the environment variable COMPARE_ROLE.
const (
	roleWorkers = "workers"
	roleGateway = "gateway"
	roleProxy   = "proxy"
)

const (
	comparisonWorkers = 4
	comparisonStreams = 100000 // more than are ever open
)

// TestMain plays a child's role where there is one, until the parent closes its standard input.
func TestMain(m *testing.M) {
	role := os.Getenv("COMPARE_ROLE")
	if role == "" {
		os.Exit(m.Run())
	}
	if profile := os.Getenv("COMPARE_PROFILE"); profile != "" {
		if out, err := os.Create(profile + "." + role); err == nil {
			_ = pprof.StartCPUProfile(out)
			defer pprof.StopCPUProfile()
		}
	}
	workers := strings.Fields(os.Getenv("COMPARE_WORKERS"))
	switch role {
	case roleWorkers:
		serveInstantWorkers()
	case roleGateway:
		dir, err := os.MkdirTemp("", "compare")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		serveGateway(workers, dir+"/w.json")
	case roleProxy:
		servePlainProxy(workers)
	}
	_, _ = io.ReadAll(os.Stdin)
}

// serveInstantWorkers starts the workers and prints their addresses.
func serveInstantWorkers() {
	for range comparisonWorkers {
		server, err := http2.Listen("tcp", "127.0.0.1:0", http2.Config{MaxConcurrentStreams: comparisonStreams},
			func(*http2.Conn) http2.Handler { return instantWorker{} })
		if err != nil {
			panic(err)
		}
		fmt.Println(server.Addr())
	}
}

// serveGateway starts a gateway in front of the workers and prints its address.
func serveGateway(workers []string, listPath string) {
	var list config.WorkerList
	for i, address := range workers {
		list.Workers = append(list.Workers, config.Worker{ID: fmt.Sprint("w", i), Address: address, Kind: "box"})
	}
	if err := config.WriteWorkers(listPath, list); err != nil {
		panic(err)
	}
	cfg := config.Defaults()
	cfg.Listen, cfg.Workers.File, cfg.Limits.MaxStreams = "127.0.0.1:0", listPath, comparisonStreams
	cfg.LoadReports = "none" // these workers report no load
	cfg.WorkerKinds = []config.WorkerKind{{Name: "box", MemoryMB: 100000}}
	cfg.Classes = []config.Class{{Name: "quote", LatencyObjective: 20000, Deadline: 30000, PriorityWeight: 1, Idempotency: "safe"}}
	cfg.DefaultModel = &config.Model{Class: "quote", MemoryMB: 100, ConcurrencyPerInstance: 1000, LoadTime: 10, WorkTime: 1}
	gateway, err := Start(&cfg, Options{})
	if err != nil {
		panic(err)
	}
	fmt.Println(gateway.Addr())
}

// holdRequestID has an instantWorker leave a stream open after its first message.
const holdRequestID = "hold"

// instantWorker answers at once: a unary call by one small message, a stream by as many messages as the request's id
// says, then the end.
type instantWorker struct{ connEvents }

func (instantWorker) StreamOpened(*http2.Stream) http2.Receiver {
	return &instantCall{reader: wire.MessageReader{MaxSize: 1 << 24}}
}

// instantCall is one call at an instantWorker.
type instantCall struct {
	path   string
	reader wire.MessageReader
}

func (c *instantCall) Sent(*http2.Stream, int)     {}
func (c *instantCall) Closed(*http2.Stream, error) {}
func (c *instantCall) Headers(_ *http2.Stream, fields []hpack.Field, _ bool) {
	c.path, _ = wire.FieldValue(fields, ":path")
}

func (c *instantCall) Data(stream *http2.Stream, data []byte, _ bool) {
	stream.Consume(len(data))
	message, _, err := c.reader.Next(data)
	if err != nil || message == nil {
		return
	}
	request, _ := oip.Scan(message[wire.PrefixLen:])
	_ = stream.WriteHeaders([]hpack.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}, false)
	if c.path != oip.StreamInfer {
		_, _ = stream.Write(instantUnaryResponse, false)
		_ = stream.WriteTrailers([]hpack.Field{{Name: "grpc-status", Value: "0"}})
		return
	}
	messages, err := strconv.Atoi(request.ID)
	for range max(messages, 1) {
		_, _ = stream.Write(instantStreamMessage, false)
	}
	if err == nil { // else it is holdRequestID
		_ = stream.WriteTrailers([]hpack.Field{{Name: "grpc-status", Value: "0"}})
	}
}

var instantUnaryResponse, instantStreamMessage = instantMessages()

func instantMessages() (unary, streamed []byte) {
	response := &inference.ModelInferResponse{ModelName: "m", RawOutputContents: [][]byte{make([]byte, 100)}}
	unaryBody, _ := proto.Marshal(response)
	streamedBody, _ := proto.Marshal(&inference.ModelStreamInferResponse{InferResponse: response})
	return append(wire.AppendPrefix(nil, len(unaryBody), false), unaryBody...),
		append(wire.AppendPrefix(nil, len(streamedBody), false), streamedBody...)
}

// rawCodec passes messages through untouched.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error)   { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(b []byte, v any) error { *v.(*[]byte) = b; return nil }
func (rawCodec) Name() string                    { return "proto" }

var _ encoding.Codec = rawCodec{}

// plainProxy is a transparent proxy as grpc-go's users write it: unknown-service handler, raw bytes, round robin.
type plainProxy struct {
	conns []*grpc.ClientConn
	next  atomic.Uint64
}

// servePlainProxy starts a proxy in front of the workers and prints its address.
func servePlainProxy(workers []string) {
	proxy := &plainProxy{}
	for _, address := range workers {
		conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})))
		if err != nil {
			panic(err)
		}
		proxy.conns = append(proxy.conns, conn)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := grpc.NewServer(grpc.UnknownServiceHandler(proxy.handle), grpc.ForceServerCodec(rawCodec{}),
		grpc.MaxConcurrentStreams(comparisonStreams))
	go func() { _ = server.Serve(listener) }() // ends with the process
	fmt.Println(listener.Addr())
}

// handle passes one request to a worker and its responses back.
func (p *plainProxy) handle(_ any, client grpc.ServerStream) error {
	method, _ := grpc.MethodFromServerStream(client)
	md, _ := metadata.FromIncomingContext(client.Context())
	ctx, cancel := context.WithCancel(metadata.NewOutgoingContext(client.Context(), md))
	defer cancel()
	conn := p.conns[p.next.Add(1)%uint64(len(p.conns))]
	worker, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, method)
	if err != nil {
		return err
	}
	var request []byte
	if err := client.RecvMsg(&request); err != nil {
		return err
	}
	if err := worker.SendMsg(&request); err != nil {
		return err
	}
	_ = worker.CloseSend()
	for {
		var response []byte
		if err := worker.RecvMsg(&response); errors.Is(err, io.EOF) {
			client.SetTrailer(worker.Trailer())
			return nil
		} else if err != nil {
			return err
		}
		if err := client.SendMsg(&response); err != nil {
			return err
		}
	}
}

// childProcess is this test binary in one role.
type childProcess struct {
	*testsupport.Child
	addresses []string // that it serves on
}

// startChild starts a child and reads so many addresses from its output. It ends with the test.
func startChild(t *testing.T, role string, addresses int, workers []string) *childProcess {
	t.Helper()
	child := &childProcess{Child: testsupport.StartChild(t, io.Discard, "COMPARE_ROLE="+role, "COMPARE_WORKERS="+strings.Join(workers, " "))}
	t.Cleanup(func() { _ = child.Stdin.Close(); _ = child.Cmd.Wait() })
	lines := bufio.NewScanner(child.Stdout)
	for len(child.addresses) < addresses && lines.Scan() {
		if line := lines.Text(); strings.HasPrefix(line, "127.") {
			child.addresses = append(child.addresses, line)
		}
	}
	return child
}

// cpuSeconds returns the process's CPU time so far.
func (p *childProcess) cpuSeconds() float64 {
	const ticksPerSecond = 100 // USER_HZ, see proc_pid_stat(5)
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Cmd.Process.Pid))
	stat := string(raw)
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+2:]) // from the third of proc_pid_stat(5)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// residentMB returns the process's resident memory, 0 where the system does not say.
func (p *childProcess) residentMB() float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Cmd.Process.Pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			kb, _ := strconv.ParseFloat(strings.Fields(line)[1], 64)
			return kb / 1024
		}
	}
	return 0
}
