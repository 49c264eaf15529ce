package grpcgateway

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
)

func TestUnaryAndStreamedCallsFromGRPCGo(t *testing.T) {
	h := newHarness(t, 2, nil, nil)
	response, err := h.infer(timeoutContext(t, 5*time.Second), newRequest("quote", "c1", 5, 1, 10))
	if err != nil || response.ModelName != "quote" || response.Id != "c1" || len(response.RawOutputContents[0]) != 10 {
		t.Fatalf("unary: %v, %v", response, err)
	}
	messages, bytes, err := h.streamInfer(timeoutContext(t, 5*time.Second), newRequest("quote", "c2", 20, 7, 1000), nil)
	if err != nil || messages != 7 || bytes != 7000 {
		t.Fatalf("streamed: %d messages, %d bytes, %v", messages, bytes, err)
	}
	if s := h.stats(); s.Served != 2 || s.CallsInFlight != 0 {
		t.Fatalf("router stats: %+v", s)
	}
}

func TestManyConcurrentStreams(t *testing.T) {
	h := newHarness(t, 4, nil, nil)
	var wg sync.WaitGroup
	errs := make(chan error, 200)
	for i := range 200 {
		wg.Go(func() {
			messages, _, err := h.streamInfer(timeoutContext(t, 20*time.Second), newRequest("quote", fmt.Sprint("c", i), 10, 20, 500), nil)
			if err == nil && messages != 20 {
				err = fmt.Errorf("%d messages", messages)
			}
			errs <- err
		})
	}
	wg.Wait()
	close(errs)
	rejected := 0
	for err := range errs {
		if err != nil && status.Code(err) != codes.Unavailable {
			t.Error(err)
		} else if err != nil {
			rejected++
		}
	}
	if rejected > 100 {
		t.Errorf("%d of 200 rejected", rejected)
	}
}

// TestInvalidRequestsAreRejected checks that each kind of invalid request gets its specific status and that none is
// sent to a worker.
func TestInvalidRequestsAreRejected(t *testing.T) {
	h := newHarness(t, 1, nil, nil)
	tooLarge := newRequest("quote", "large", 1, 1, 1)
	tooLarge.RawInputContents = [][]byte{make([]byte, 17<<20)}
	for name, test := range map[string]struct {
		method  string
		request *inference.ModelInferRequest
		want    codes.Code
	}{
		"no model":                {oip.Infer, &inference.ModelInferRequest{}, codes.InvalidArgument},
		"model that isn't served": {oip.Infer, newRequest("nobody", "c3", 5, 1, 10), codes.NotFound},
		"beyond the size limit":   {oip.Infer, tooLarge, codes.ResourceExhausted},
		"unknown method":          {"/inference.GRPCInferenceService/Nothing", newRequest("quote", "z", 1, 1, 10), codes.Unimplemented},
	} {
		t.Run(name, func(t *testing.T) {
			err := h.conn.Invoke(timeoutContext(t, 20*time.Second), test.method, test.request, &inference.ModelInferResponse{})
			if status.Code(err) != test.want {
				t.Errorf("%v, want %v", err, test.want)
			}
		})
	}
	if s := h.stats(); s.Served != 0 || s.CallsInFlight != 0 {
		t.Errorf("router stats: %+v", s)
	}
}

// TestMethodsAnsweredByGateway calls, with the client of grpc-go, the methods that the gateway answers without a
// worker.
func TestMethodsAnsweredByGateway(t *testing.T) {
	h := newHarness(t, 1, nil, nil)
	for path, c := range map[string]struct {
		request, response proto.Message
		want              string
	}{
		oip.ServerLive:     {&inference.ServerLiveRequest{}, &inference.ServerLiveResponse{}, "live:true"},
		oip.ServerReady:    {&inference.ServerReadyRequest{}, &inference.ServerReadyResponse{}, "ready:true"},
		oip.ModelReady:     {&inference.ModelReadyRequest{Name: "quote"}, &inference.ModelReadyResponse{}, "ready:true"},
		oip.ServerMetadata: {&inference.ServerMetadataRequest{}, &inference.ServerMetadataResponse{}, `name:"topazfront"`},
		oip.ModelMetadata:  {&inference.ModelMetadataRequest{Name: "quote"}, &inference.ModelMetadataResponse{}, `name:"quote"`},
	} {
		t.Run(path[strings.LastIndexByte(path, '/')+1:], func(t *testing.T) {
			if err := h.conn.Invoke(timeoutContext(t, 5*time.Second), path, c.request, c.response); err != nil {
				t.Error(err)
			}
			if got := strings.ReplaceAll(fmt.Sprint(c.response), " ", ""); !strings.Contains(got, c.want) {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
	if s := h.stats(); s.Served != 0 || s.CallsInFlight != 0 {
		t.Errorf("router stats: %+v", s)
	}
}

func TestSeveralCallsOnOneStream(t *testing.T) {
	h := newHarness(t, 2, nil, nil)
	stream, err := h.newStream(timeoutContext(t, 10*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		if err := stream.SendMsg(newRequest("quote", fmt.Sprint("m", i), 2, 3, 10)); err != nil {
			t.Fatal(err)
		}
	}
	var ids []string
	var response inference.ModelStreamInferResponse
	for range 15 {
		if err := stream.RecvMsg(&response); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, response.InferResponse.Id)
	}
	for i, id := range ids {
		if id != fmt.Sprint("m", i/3) {
			t.Fatalf("responses in the order %v", ids)
		}
	}
	if err := stream.CloseSend(); err != nil {
		t.Fatal(err)
	}
	if err := stream.RecvMsg(&response); !errors.Is(err, io.EOF) {
		t.Fatalf("after the last message: %v, want io.EOF", err)
	}
}

func TestManyAndLargeMessages(t *testing.T) {
	h := newHarness(t, 1, nil, nil)
	for name, c := range map[string]struct{ messages, bytes int64 }{
		"many small messages":    {5000, 1000},
		"empty messages":         {300, 0},
		"several large messages": {3, 3 << 20},
		"one message of 8 MB":    {1, 8 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			request := newRequest("quote", fmt.Sprint("big", c.messages), 1, c.messages, c.bytes)
			messages, bytes, err := h.streamInfer(timeoutContext(t, 60*time.Second), request, nil)
			if err != nil || int64(messages) != c.messages || int64(bytes) != c.messages*c.bytes {
				t.Errorf("%d messages with %d bytes in all, %v", messages, bytes, err)
			}
		})
	}
	response, err := h.infer(timeoutContext(t, 20*time.Second), newRequest("quote", "u", 1, 1, 5<<20))
	if err != nil || len(response.RawOutputContents[0]) != 5<<20 {
		t.Errorf("unary response of 5 MB: %v", err)
	}
	large := newRequest("quote", "up", 1, 1, 1)
	large.RawInputContents = [][]byte{make([]byte, 6<<20)}
	if _, err := h.infer(timeoutContext(t, 20*time.Second), large); err != nil {
		t.Errorf("request of 6 MB: %v", err)
	}
}

func TestCompressionAndMetadataPassThrough(t *testing.T) {
	h := newHarness(t, 1, nil, nil)
	request := newRequest("quote", "z", 1, 1, 10)
	request.RawInputContents = [][]byte{make([]byte, 1<<20)}
	var response inference.ModelInferResponse
	ctx := metadata.AppendToOutgoingContext(timeoutContext(t, 10*time.Second), "x-own", "kept", "x-raw-bin", string([]byte{0, 255}))
	err := h.conn.Invoke(ctx, oip.Infer, request, &response, grpc.UseCompressor(gzip.Name))
	if err != nil || response.Id != "z" {
		t.Errorf("gzip: %v, %v", response.Id, err)
	}
}
