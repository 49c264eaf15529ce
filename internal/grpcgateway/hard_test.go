package grpcgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
)

// eventually waits for something to become so.
func eventually(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if so() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// seen counts the records of a kind for a call.
func (r *rig) seen(k invariants.RecordKind, call string) (n int) {
	for _, x := range r.log.Records() {
		if x.Kind == k && x.Call == call {
			n++
		}
	}
	return n
}

// all sets a fault at every worker.
func (r *rig) all(f func(*fakeworker.Faults)) {
	for _, w := range r.workers {
		w.ChangeFaults(f)
	}
}

// warm has a model answered once.
func (r *rig) warm(model string) {
	r.t.Helper()
	if _, err := r.infer(within(r.t, 10*time.Second), ask(model, "warm-"+model, 1, 1, 1)); err != nil {
		r.t.Fatal(err)
	}
}

func TestAwardOnAWorkerThatDiesRunsOnceAndFailsOnce(t *testing.T) {
	for name, fault := range map[string]func(*fakeworker.Faults){
		"mid-stream":          func(f *fakeworker.Faults) { f.DieAfterMessages = map[string]int{"points": 2} },
		"before the response": func(f *fakeworker.Faults) { f.DieAfterMessages = map[string]int{"points": 0} },
		"as it begins to run": func(f *fakeworker.Faults) { f.DieOnStart = map[string]bool{"points": true} },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3, nil, nil)
			r.all(fault)
			n, _, err := r.stream(within(t, 5*time.Second), ask("award", "a1", 30, 6, 50), nil)
			if c := status.Code(err); c == codes.OK || c == codes.Unavailable {
				t.Errorf("%d messages, then %v: it may have run, so it may not look harmless to repeat", n, err)
			}
			if sent, ran := r.seen(invariants.AttemptReceived, "a1"), r.seen(invariants.RunStarted, "a1"); sent != 1 || ran != 1 {
				t.Errorf("sent %d times, ran %d times", sent, ran)
			}
			if name == "mid-stream" && n != 2 {
				t.Errorf("%d messages came before the death, want 2", n)
			}
		})
	}
}

func TestSafeCallOnAWorkerThatDiesBeforeItsResponseIsSentElsewhere(t *testing.T) {
	r := newRig(t, 3, nil, nil)
	var once sync.Once
	first := ""
	for _, w := range r.workers { // whichever is first kills itself; the others serve
		w.ChangeFaults(func(f *fakeworker.Faults) { f.DieOnStart = map[string]bool{"quote": true} })
		go func() {
			for !w.Down() {
				time.Sleep(time.Millisecond)
				if t.Context().Err() != nil {
					return
				}
			}
			once.Do(func() {
				first = w.ID()
				r.all(func(f *fakeworker.Faults) { f.DieOnStart = nil })
			})
		}()
	}
	if _, err := r.infer(within(t, 5*time.Second), ask("quote", "q1", 5, 1, 1)); err != nil {
		t.Fatalf("%v (died first: %s)", err, first)
	}
}

func TestWhatNeverRanIsSentElsewhere(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		r := newRig(t, 3, nil, nil)
		r.workers[0].Kill()
		r.workers[1].Kill()
		for i := range 6 {
			id := fmt.Sprint("a", i)
			if _, err := r.infer(within(t, 5*time.Second), ask("award", id, 2, 1, 1)); err != nil {
				t.Fatal(err)
			}
			if r.seen(invariants.RunStarted, id) != 1 {
				t.Errorf("%s ran %d times", id, r.seen(invariants.RunStarted, id))
			}
		}
	})
	t.Run("REFUSED_STREAM", func(t *testing.T) {
		r := newRig(t, 3, nil, nil)
		r.workers[0].ChangeFaults(func(f *fakeworker.Faults) { f.RefuseStreams = true })
		r.workers[1].ChangeFaults(func(f *fakeworker.Faults) { f.RefuseStreams = true })
		for i := range 6 {
			id := fmt.Sprint("a", i)
			if _, err := r.infer(within(t, 5*time.Second), ask("award", id, 2, 1, 1)); err != nil {
				t.Fatal(err)
			}
			if r.seen(invariants.RunStarted, id) != 1 {
				t.Errorf("%s ran %d times", id, r.seen(invariants.RunStarted, id))
			}
		}
	})
}

func TestDrainWithStreamsOpen(t *testing.T) {
	for _, how := range []string{"goaway", "list", "goaway, then list", "list, then goaway"} {
		t.Run(how, func(t *testing.T) {
			r := newRig(t, 3, func(c *config.Gateway) {
				c.Safety.DrainGrace = 100
				c.Workers.AskAfter = 100 // it is asked often; it says that it drains
			}, nil)
			r.warm("quote")
			began, open := make(chan struct{}), atomic.Int32{}
			var wg sync.WaitGroup
			for i := range 12 {
				wg.Go(func() {
					first := true
					n, _, err := r.stream(within(t, 20*time.Second), ask("quote", fmt.Sprint("s", i), 1500, 30, 100), func(int) {
						if first {
							first = false
							if open.Add(1) == 12 {
								close(began)
							}
						}
					})
					if err != nil || n != 30 {
						t.Errorf("stream %d: %d messages, %v", i, n, err)
					}
				})
			}
			select {
			case <-began:
			case <-time.After(20 * time.Second):
				t.Fatal("the streams did not begin")
			}
			var victim *fakeworker.Worker
			for _, w := range r.workers {
				if victim == nil || w.InFlight() > victim.InFlight() {
					victim = w
				}
			}
			if victim.InFlight() == 0 {
				t.Fatal("no worker holds a stream")
			}
			list := func() {
				for i := range r.list.Workers {
					if r.list.Workers[i].ID == victim.ID() {
						r.list.Workers[i].State = "draining"
					}
				}
				r.publish()
			}
			switch how {
			case "goaway":
				victim.Drain(true)
			case "list":
				list()
			case "goaway, then list":
				victim.Drain(true)
				list()
			default:
				list()
				victim.Drain(true)
			}
			told := r.log.Now()
			time.Sleep(400 * time.Millisecond) // the grace, and what a file event may take
			for i := range 30 {
				if _, err := r.infer(within(t, 5*time.Second), ask("quote", fmt.Sprint("n", i), 1, 1, 1)); err != nil {
					t.Errorf("a new call: %v", err)
				}
			}
			for _, x := range r.log.Records() {
				if (x.Kind == invariants.AttemptReceived || x.Kind == invariants.LoadCommandReceived) && x.Worker == victim.ID() && x.At > told+390*time.Millisecond {
					t.Errorf("%s sent to the draining worker %v after it was told", x.Call, x.At-told)
				}
			}
			wg.Wait()
		})
	}
}

// TestGoAwayOfAHealthyWorker guards against a worker that ends its connections for their age: it comes back.
func TestGoAwayOfAHealthyWorker(t *testing.T) {
	r := newRig(t, 1, func(c *config.Gateway) { c.Workers.AskAfter = 100 }, nil)
	r.warm("quote")
	r.workers[0].Drain(true)
	r.workers[0].Resume()
	eventually(t, "the worker is sent to again", func() bool {
		_, err := r.infer(within(t, 5*time.Second), ask("quote", "again", 1, 1, 1))
		return err == nil
	})
}

func TestSlowReaderHoldsItsWorkerBackAndNobodyElse(t *testing.T) {
	r := newRig(t, 1, nil, nil)
	r.warm("quote")
	s, err := r.conn.NewStream(within(t, 30*time.Second), &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, oip.StreamInfer)
	if err != nil {
		t.Fatal(err)
	}
	const messages, size = 400, 50000 // 20 MB
	if err := s.SendMsg(ask("quote", "slow", 200, messages, size)); err != nil {
		t.Fatal(err)
	}
	_ = s.CloseSend()
	var out inference.ModelStreamInferResponse
	if err := s.RecvMsg(&out); err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	time.Sleep(600 * time.Millisecond) // the worker has made all by now; the client reads nothing
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 50 {
		if n, _, err := r.stream(within(t, 10*time.Second), ask("quote", fmt.Sprint("o", i), 2, 10, 2000), nil); err != nil || n != 10 {
			t.Fatalf("another stream: %d messages, %v", n, err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 20<<20 {
		t.Errorf("the heap grew by %d bytes", grown)
	}
	n := 1
	for {
		if err := s.RecvMsg(&out); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if n++; len(out.InferResponse.RawOutputContents[0]) != size {
			t.Fatalf("message %d has %d bytes", n, len(out.InferResponse.RawOutputContents[0]))
		}
	}
	if n != messages {
		t.Errorf("%d messages", n)
	}
}

// TestClientsThatLeave has clients leave at each stage of a call; what they leave behind ends too.
func TestClientsThatLeave(t *testing.T) {
	stages := map[string]struct {
		set  func(*rig)
		work int64
		when invariants.RecordKind
	}{
		"load wait": {func(r *rig) {}, 5, invariants.AttemptReceived},
		"at work":   {func(r *rig) { r.warm("quote") }, 600, invariants.RunStarted},
		"silence":   {func(r *rig) { r.all(func(f *fakeworker.Faults) { f.Hang = true }) }, 5, invariants.AttemptReceived},
	}
	for name, st := range stages {
		for _, how := range []string{"cancel", "deadline", "disconnect"} {
			t.Run(name+", "+how, func(t *testing.T) {
				r := newRig(t, 2, nil, func(c *fakeworker.Config) {
					c.StopsCancelledWork = true
					if name == "load wait" {
						m := c.Models["quote"]
						m.LoadTime = 2 * time.Second
						c.Models["quote"] = m
					}
				})
				st.set(r)
				left, timeout := make(chan error, 1), 20*time.Second
				if how == "deadline" {
					timeout = 300 * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				go func() {
					_, _, err := r.stream(ctx, ask("quote", "l1", st.work, 3, 10), nil)
					left <- err
				}()
				if how != "deadline" {
					eventually(t, "the call reached its stage", func() bool { return r.seen(st.when, "l1") > 0 })
					if how == "cancel" {
						cancel()
					} else {
						_ = r.conn.Close()
					}
				}
				if err := <-left; err == nil {
					t.Error("the call was served")
				}
				eventually(t, "the router forgot the call", func() bool { return r.g.Router().Stats().Open == 0 })
				if name != "silence" {
					eventually(t, "the workers dropped it", func() bool { return r.workers[0].InFlight()+r.workers[1].InFlight() == 0 })
				}
				if r.seen(invariants.RunStarted, "l1") > 1 {
					t.Error("it ran twice")
				}
			})
		}
	}
}

// TestDeadlineOfAStreamUnderWay: the client's deadline ends a stream that has begun, and the worker's with it.
func TestDeadlineOfAStreamUnderWay(t *testing.T) {
	r := newRig(t, 1, nil, func(c *fakeworker.Config) { c.StopsCancelledWork = true })
	r.warm("quote")
	n, _, err := r.stream(within(t, 500*time.Millisecond), ask("quote", "long", 5000, 100, 10), nil)
	if status.Code(err) != codes.DeadlineExceeded || n == 0 {
		t.Fatalf("%d messages, %v", n, err)
	}
	eventually(t, "the worker's stream ended", func() bool { return r.workers[0].InFlight() == 0 })
	eventually(t, "the router forgot the call", func() bool { return r.g.Router().Stats().Open == 0 })
}

func TestSeveralCallsOnOneStream(t *testing.T) {
	r := newRig(t, 2, nil, nil)
	s, err := r.conn.NewStream(within(t, 10*time.Second), &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, oip.StreamInfer)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		if err := s.SendMsg(ask("quote", fmt.Sprint("m", i), 2, 3, 10)); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	for range 15 {
		var out inference.ModelStreamInferResponse
		if err := s.RecvMsg(&out); err != nil {
			t.Fatal(err)
		}
		got = append(got, out.InferResponse.Id)
	}
	for i, id := range got {
		if id != fmt.Sprint("m", i/3) {
			t.Fatalf("answers in the order %v", got)
		}
	}
	if err := s.CloseSend(); err != nil {
		t.Fatal(err)
	}
	var out inference.ModelStreamInferResponse
	if err := s.RecvMsg(&out); !errors.Is(err, io.EOF) {
		t.Fatalf("the end: %v", err)
	}
}

func TestManyAndLargeMessages(t *testing.T) {
	r := newRig(t, 1, nil, nil)
	for _, c := range []struct{ messages, bytes int64 }{{5000, 1000}, {300, 0}, {3, 3 << 20}, {1, 8 << 20}} {
		n, bytes, err := r.stream(within(t, 60*time.Second), ask("quote", fmt.Sprint("big", c.messages), 1, c.messages, c.bytes), nil)
		if err != nil || int64(n) != c.messages || int64(bytes) != c.messages*c.bytes {
			t.Errorf("%d messages of %d bytes came as %d with %d bytes, %v", c.messages, c.bytes, n, bytes, err)
		}
	}
	out, err := r.infer(within(t, 20*time.Second), ask("quote", "u", 1, 1, 5<<20))
	if err != nil || len(out.RawOutputContents[0]) != 5<<20 {
		t.Errorf("unary of 5 MB: %v", err)
	}
	big := ask("quote", "up", 1, 1, 1)
	big.RawInputContents = [][]byte{make([]byte, 6<<20)}
	if _, err := r.infer(within(t, 20*time.Second), big); err != nil {
		t.Errorf("request of 6 MB: %v", err)
	}
	big.RawInputContents = [][]byte{make([]byte, 17<<20)}
	if _, err := r.infer(within(t, 20*time.Second), big); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("request beyond the bound: %v", err)
	}
}

func TestCompressionAndMetadataPassThrough(t *testing.T) {
	r := newRig(t, 1, nil, nil)
	m := ask("quote", "z", 1, 1, 10)
	m.RawInputContents = [][]byte{make([]byte, 1<<20)}
	var out inference.ModelInferResponse
	ctx := metadata.AppendToOutgoingContext(within(t, 10*time.Second), "x-own", "kept", "x-raw-bin", string([]byte{0, 255}))
	if err := r.conn.Invoke(ctx, oip.Infer, m, &out, grpc.UseCompressor(gzip.Name)); err != nil || out.Id != "z" {
		t.Errorf("gzip: %v, %v", out.Id, err)
	}
	if _, err := r.infer(within(t, 5*time.Second), &inference.ModelInferRequest{}); status.Code(err) != codes.InvalidArgument {
		t.Errorf("a request without a model: %v", err)
	}
	if err := r.conn.Invoke(within(t, 5*time.Second), "/inference.GRPCInferenceService/Nothing", m, &out); status.Code(err) != codes.Unimplemented {
		t.Errorf("an unknown call: %v", err)
	}
}

// TestStopWithCallsInHand: a stop is announced, calls in hand are answered, then all is gone.
func TestStopWithCallsInHand(t *testing.T) {
	r := newRig(t, 2, nil, nil)
	r.warm("quote")
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			if n, _, err := r.stream(within(t, 20*time.Second), ask("quote", fmt.Sprint("h", i), 300, 5, 10), nil); err != nil || n != 5 {
				t.Errorf("stream %d: %d messages, %v", i, n, err)
			}
		})
	}
	eventually(t, "the calls are in hand", func() bool { return r.g.Router().Stats().Open >= 40 })
	s := r.g.Stop()
	wg.Wait()
	if s.Served < 41 || s.Open != 0 {
		t.Errorf("%+v", s)
	}
	if _, err := r.infer(within(t, time.Second), ask("quote", "late", 1, 1, 1)); err == nil {
		t.Error("a stopped gateway served a call")
	}
}

func descriptors() int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(list)
}

// TestFiveHundredStreamsWithFaults is the first proof: no missing or doubled final answer, no award twice,
// nothing left behind.
func TestFiveHundredStreamsWithFaults(t *testing.T) {
	goroutines, files := runtime.NumGoroutine(), descriptors()
	t.Run("streams", func(t *testing.T) {
		r := newRig(t, 6, func(c *config.Gateway) { // long enough that hardly any is shed
			for i := range c.Classes {
				c.Classes[i].Aim, c.Classes[i].Deadline, c.Classes[i].Window = 15000, 20000, 20000
			}
		}, func(c *fakeworker.Config) { c.Cores = 32; c.DeduplicationWindow = 20 * time.Second })
		for _, m := range []string{"quote", "renew", "award"} {
			r.warm(m)
		}
		var served, refused, failed atomic.Int32
		var wg sync.WaitGroup
		for i := range 500 {
			model := []string{"quote", "renew", "award"}[i%3]
			wg.Go(func() {
				n, _, err := r.stream(within(t, 20*time.Second), ask(model, fmt.Sprint("f", i), 300, 6, 200), nil)
				switch {
				case err == nil && n == 6:
					served.Add(1)
				case err == nil:
					t.Errorf("call %d was served with %d messages", i, n)
				case status.Code(err) == codes.Unavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
			})
		}
		eventually(t, "all are in hand", func() bool { return r.g.Router().Stats().Calls >= 500 })
		r.workers[0].Kill()
		r.workers[1].Drain(true)
		r.workers[2].ChangeFaults(func(f *fakeworker.Faults) { f.DieAfterMessages = map[string]int{"points": 3} })
		r.workers[3].ChangeFaults(func(f *fakeworker.Faults) { f.FailingClasses = map[string]bool{"renew": true} })
		wg.Wait()
		if got := served.Load() + refused.Load() + failed.Load(); got != 500 {
			t.Errorf("%d answers", got)
		}
		t.Logf("served %d, refused %d, failed %d", served.Load(), refused.Load(), failed.Load())
		ran := map[string]int{}
		for _, x := range r.log.Records() {
			if x.Kind == invariants.RunStarted && x.Class != "quote" {
				if ran[x.Request]++; ran[x.Request] > 1 {
					t.Errorf("%s %s ran twice", x.Class, x.Request)
				}
			}
		}
	})
	eventually(t, "goroutines and descriptors are back", func() bool {
		return runtime.NumGoroutine() <= goroutines+8 && descriptors() <= files+4
	})
}
