package grpcgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/router"
)

// harness is a gateway in front of fake workers, with a grpc-go client, for one test.
type harness struct {
	t        *testing.T
	gateway  *Gateway
	workers  []*fakeworker.Worker
	list     config.WorkerList // the content for writeWorkerList
	listPath string            // of the worker list
	log      *invariants.Log
	conn     *grpc.ClientConn
}

// testModels maps the models that the fake workers and the gateway serve to their classes.
var testModels = map[string]string{"quote": "quote", "renew": "renew", "award": "points"}

// newHarness starts the given number of workers and a gateway, which are stopped at the end of the test.
// changeGateway and changeWorker, unless nil, change their settings before the start.
func newHarness(t *testing.T, workers int, changeGateway func(*config.Gateway), changeWorker func(*fakeworker.Config)) *harness {
	t.Helper()
	h := &harness{t: t, listPath: filepath.Join(t.TempDir(), "workers.json"), log: invariants.NewLog()}
	h.startWorkers(workers, changeWorker)
	h.writeWorkerList()
	cfg := testGatewayConfig(h.listPath)
	if changeGateway != nil {
		changeGateway(cfg)
	}
	gateway, err := Start(cfg, Options{})
	if err != nil {
		t.Fatal(err)
	}
	h.gateway = gateway
	t.Cleanup(func() { gateway.Stop() })
	h.conn, err = grpc.NewClient(gateway.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20), grpc.MaxCallSendMsgSize(64<<20)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.conn.Close() })
	return h
}

func (h *harness) startWorkers(count int, change func(*fakeworker.Config)) {
	h.t.Helper()
	cell, store := fakeworker.NewDeduplicator(), fakeworker.NewStore(200, 100)
	for i := range count {
		c := fakeworker.Config{ID: fmt.Sprintf("w%d", i), Cores: 8, Speed: 1, MemoryMB: 4000, QueueLength: 1000, ConcurrentLoads: 8,
			IdleResidency: 10 * time.Second, LoadsOnCacheMiss: true, AddsCopies: true, DeduplicationWindow: 5 * time.Second,
			DeduplicatedClasses: map[string]bool{"renew": true}, Store: store, Deduplicator: cell, Log: h.log, Seed: uint64(i),
			DefaultLoadTime: 20 * time.Millisecond, ReportsLoad: true, Models: map[string]fakeworker.Model{}}
		for model, class := range testModels {
			c.Models[model] = fakeworker.Model{Name: model, Class: class, MemoryMB: 100, ConcurrencyPerInstance: 4, LoadTime: 20 * time.Millisecond}
		}
		if change != nil {
			change(&c)
		}
		worker, err := fakeworker.Start(c)
		if err != nil {
			h.t.Fatal(err)
		}
		h.t.Cleanup(worker.Kill)
		h.workers = append(h.workers, worker)
		h.list.Workers = append(h.list.Workers, config.Worker{ID: worker.ID(), Address: worker.Addr(), Zone: "a", Kind: "box"})
	}
}

// testGatewayConfig returns settings with one class per kind of idempotency: quote is idempotent, renew is idempotent
// by key, and points is non-idempotent.
func testGatewayConfig(workerList string) *config.Gateway {
	cfg := config.Defaults()
	cfg.Name, cfg.Listen, cfg.Seed = "r0", "127.0.0.1:0", 1
	cfg.Workers.File = workerList
	cfg.Classes = []config.Class{
		{Name: "quote", LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 2, Idempotency: "safe"},
		{Name: "renew", LatencyObjective: 800, Deadline: 3000, PriorityWeight: 5, Idempotency: "keyed",
			DeduplicationScope: "cell", DeduplicationWindow: 5000},
		{Name: "points", LatencyObjective: 800, Deadline: 2500, PriorityWeight: 3, Idempotency: "unsafe"}}
	cfg.Models = map[string]config.Model{}
	for model, class := range testModels {
		cfg.Models[model] = config.Model{Class: class, MemoryMB: 100, ConcurrencyPerInstance: 4, LoadTime: 20, WorkTime: 5}
	}
	cfg.WorkerKinds = []config.WorkerKind{{Name: "box", MemoryMB: 4000}}
	return &cfg
}

// writeWorkerList replaces the file that the gateway follows.
func (h *harness) writeWorkerList() {
	h.t.Helper()
	if err := config.WriteWorkers(h.listPath, h.list); err != nil {
		h.t.Fatal(err)
	}
}

// stats returns the router's statistics.
func (h *harness) stats() router.Stats { return h.gateway.router.Stats() }

// records counts the records of a kind for a call.
func (h *harness) records(kind invariants.RecordKind, call string) (count int) {
	for _, r := range h.log.Records() {
		if r.Kind == kind && r.Call == call {
			count++
		}
	}
	return count
}

// setFaults changes the faults of every worker.
func (h *harness) setFaults(change func(*fakeworker.Faults)) {
	for _, w := range h.workers {
		w.ChangeFaults(change)
	}
}

// loadModel makes one call, after which the model is resident at a worker.
func (h *harness) loadModel(model string) {
	h.t.Helper()
	if _, err := h.infer(timeoutContext(h.t, 10*time.Second), newRequest(model, "warm-"+model, 1, 1, 1)); err != nil {
		h.t.Fatal(err)
	}
}

// infer makes a unary call.
func (h *harness) infer(ctx context.Context, request *inference.ModelInferRequest) (*inference.ModelInferResponse, error) {
	var response inference.ModelInferResponse
	err := h.conn.Invoke(ctx, oip.Infer, request, &response)
	return &response, err
}

// newStream opens a stream for requests and responses.
func (h *harness) newStream(ctx context.Context) (grpc.ClientStream, error) {
	return h.conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, oip.StreamInfer)
}

// streamInfer sends one request on a stream and reads the response to its end. onMessage, unless nil, is called after
// each message with the number of messages received.
func (h *harness) streamInfer(ctx context.Context, request *inference.ModelInferRequest, onMessage func(int)) (messages, bytes int, err error) {
	stream, err := h.newStream(ctx)
	if err != nil {
		return 0, 0, err
	}
	if err := stream.SendMsg(request); err != nil {
		return 0, 0, err
	}
	if err := stream.CloseSend(); err != nil {
		return 0, 0, err
	}
	for {
		var response inference.ModelStreamInferResponse
		if err := stream.RecvMsg(&response); errors.Is(err, io.EOF) {
			return messages, bytes, nil
		} else if err != nil {
			return messages, bytes, err
		}
		sequence := response.InferResponse.Parameters["sequence"].GetInt64Param()
		if sequence != int64(messages) {
			return messages, bytes, fmt.Errorf("message %d has sequence number %d", messages, sequence)
		}
		messages++
		bytes += len(response.InferResponse.RawOutputContents[0])
		if onMessage != nil {
			onMessage(messages)
		}
	}
}

// requireStream makes a streamed call and fails the test unless the response has the wanted number of messages and ends
// without an error.
func (h *harness) requireStream(timeout time.Duration, request *inference.ModelInferRequest, want int) {
	h.t.Helper()
	if messages, _, err := h.streamInfer(timeoutContext(h.t, timeout), request, nil); err != nil || messages != want {
		h.t.Errorf("stream %s: %d messages, %v; want %d", request.Id, messages, err, want)
	}
}

// newRequest returns a request whose response has the given number of messages, each of the given size in bytes, and
// takes the given number of milliseconds of work.
func newRequest(model, id string, workMS, messages, bytes int64) *inference.ModelInferRequest {
	return &inference.ModelInferRequest{ModelName: model, Id: id, Parameters: map[string]*inference.InferParameter{
		fakeworker.ParamWorkMS: numberParameter(workMS), fakeworker.ParamMessages: numberParameter(messages),
		fakeworker.ParamBytes: numberParameter(bytes), fakeworker.ParamRequest: textParameter(id),
		oip.ParamIdempotencyKey: textParameter(id)}}
}

func numberParameter(n int64) *inference.InferParameter {
	return &inference.InferParameter{ParameterChoice: &inference.InferParameter_Int64Param{Int64Param: n}}
}

func textParameter(s string) *inference.InferParameter {
	return &inference.InferParameter{ParameterChoice: &inference.InferParameter_StringParam{StringParam: s}}
}

// timeoutContext returns a context that is cancelled after the timeout and at the end of the test.
func timeoutContext(t *testing.T, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}
