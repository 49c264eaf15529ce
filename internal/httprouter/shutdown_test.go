package httprouter

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestShutdownAnswersPendingCalls has clients wait for longer than the process lives on after SIGTERM, and workers
// answer nothing. Each class gets the final answer that its idempotency allows before the end.
func TestShutdownAnswersPendingCalls(t *testing.T) {
	h := newHarness(t, nil)
	for _, worker := range h.workers {
		worker.Handle = func(fakeplatform.Request) {}
	}
	type answer struct {
		class  string
		status int
	}
	answers := make(chan answer, 3)
	for i, class := range []string{"safe", "keyed", "unsafe"} {
		go func() {
			status, _ := h.client.Call(hexID(100+i), class, hexID(7), time.Minute)
			answers <- answer{class, status}
		}()
	}
	testsupport.WaitUntil(t, "the calls are open", func() bool { return h.server.httpServer.Stats().OpenRequests == 3 })
	if unanswered := h.server.Shutdown(); unanswered != 0 {
		t.Errorf("%d calls without an answer", unanswered)
	}
	want := map[string]int{"safe": 503, "keyed": 502, "unsafe": 502}
	for range 3 {
		if a := testsupport.Await(t, answers, "an answer"); a.status != want[a.class] {
			t.Errorf("%s: status %d, want %d", a.class, a.status, want[a.class])
		}
	}
}

// TestShutdownWhileWorkersHang has workers answer nothing through a whole shutdown, while clients go on calling over open
// and new connections. Each call gets its answer in time.
func TestShutdownWhileWorkersHang(t *testing.T) {
	const (
		deadline  = time.Second
		callFor   = 600 * time.Millisecond // clients come for so long after SIGTERM
		callPause = 50 * time.Millisecond
	)
	t.Parallel()
	settings := strings.ReplaceAll(defaultSettings, `"deadline":8000000`, `"deadline":1000000`)
	h := startHarness(t, harnessOptions{settings: settings, handle: func(*fakeplatform.Worker, fakeplatform.Request) {}})
	var wg sync.WaitGroup
	callOfEachClass := func() {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			wg.Go(func() {
				if status := h.callWithin(class, deadline); status == 200 || status == 0 {
					t.Errorf("%s: status %d", class, status)
				}
			})
		}
	}
	callOfEachClass()
	stopped := make(chan int, 1)
	startedAt := time.Now()
	go func() { stopped <- h.server.Shutdown() }()
	for time.Since(startedAt) < callFor {
		callOfEachClass()
		time.Sleep(callPause)
	}
	wg.Wait()
	if unanswered := testsupport.Await(t, stopped, "the end of the shutdown"); unanswered != 0 {
		t.Errorf("%d calls without an answer", unanswered)
	}
	h.requireInvariants()
}
