package respupstream

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestAttemptResults covers the rows of the table in evidence.go that a worker's behavior causes, and checks the
// result that the dispatcher receives.
func TestAttemptResults(t *testing.T) {
	for name, test := range map[string]struct {
		handler func(fakeplatform.Request)
		result  dispatch.Result
	}{
		"ok":                       {reply("ok", "-", "answer"), dispatch.OK},
		"ok with a load report":    {reply("ok", "company=3,meter=inflight:7;util:0.61", "answer"), dispatch.OK},
		"not resident":             {reply("nothing", "-", ""), dispatch.NotResident},
		"rejected":                 {reply("refused", "-", ""), dispatch.Rejected},
		"error":                    {reply("error", "-", ""), dispatch.Errored},
		"stale":                    {reply("stale", "-", ""), dispatch.NotSent},
		"connection closed":        {func(r fakeplatform.Request) { _ = r.Conn.Close() }, dispatch.ConnectionReset},
		"not RESP":                 {replyRaw("\x00\x01noise\r\n"), dispatch.ConnectionReset},
		"line without end":         {replyRaw("*" + strings.Repeat("1", 64)), dispatch.ConnectionReset},
		"length of 3 GB":           {replyRaw("*4\r\n$16\r\n0000000000000001\r\n$2\r\nok\r\n$1\r\n-\r\n$3221225472\r\nx"), dispatch.ConnectionReset},
		"unknown status":           {reply("fine", "-", "answer"), dispatch.ConnectionReset},
		"status of a health check": {reply("yes", "-", ""), dispatch.ConnectionReset},
		"too few items":            {reply("ok", "-"), dispatch.ConnectionReset},
		"field without value":      {reply("ok", "company", "answer"), dispatch.ConnectionReset},
		"NaN":                      {reply("ok", "company=NaN", "answer"), dispatch.ConnectionReset},
		"negative number":          {reply("ok", "meter=inflight:-1", "answer"), dispatch.ConnectionReset},
		"body shorter than its length": {func(r fakeplatform.Request) {
			r.Conn.WriteRaw("*4\r\n$16\r\n" + r.ID + "\r\n$2\r\nok\r\n$1\r\n-\r\n$9\r\nanswer\r\n*4\r\n")
		}, dispatch.ConnectionReset},
		"response for an unknown id first": {func(r fakeplatform.Request) {
			r.Conn.WriteMessage("ffffffffffffffff", "ok", "-", "another's")
			r.Conn.WriteMessage(r.ID, "ok", "-", "answer")
		}, dispatch.OK},
		"duplicate response": {func(r fakeplatform.Request) {
			r.Conn.WriteRaw(strings.Repeat(fakeplatform.EncodeMessage(r.ID, "ok", "-", "answer"), 2))
		}, dispatch.OK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}},
				&fakeplatform.Worker{ID: "w", Handle: test.handler})
			client := h.submit(15 * time.Second)
			ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome")
			if ended.Result != test.result || ended.Final != (test.result == dispatch.OK) {
				t.Errorf("outcome %+v, want result %v", ended, test.result)
			}
			if name == "ok with a load report" && (ended.FunctionInFlight != 3 || ended.LoadReport.InFlight != 7) {
				t.Errorf("report %+v", ended)
			}
			final := testsupport.Await(t, client, "the final answer")
			if test.result == dispatch.OK && string(final.Attempt.Body) != "answer" {
				t.Errorf("the client received %q", final.Attempt.Body)
			}
		})
	}
}

// TestMalformedResponseResetsAllOnItsConnection checks that a malformed response ends all attempts on its connection
// as ConnectionReset, because each of them may have run.
func TestMalformedResponseResetsAllOnItsConnection(t *testing.T) {
	var mu sync.Mutex
	received := 0
	w := &fakeplatform.Worker{ID: "w", Handle: func(r fakeplatform.Request) {
		mu.Lock()
		defer mu.Unlock()
		if received++; received == 3 {
			r.Conn.WriteRaw("noise\r\n")
		}
	}}
	h := newHarness(t, func(c *Config) { c.MaxConns = 1 }, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
	for range 3 {
		h.submit(15 * time.Second)
	}
	for range 3 {
		if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.ConnectionReset {
			t.Errorf("%+v", ended)
		}
	}
}

// TestLateResponseIsNotMatchedToRetry checks that a retry with the same id at the same worker uses another
// connection, so that a late or duplicate response to the first attempt is not mistaken for the response to the
// retry.
func TestLateResponseIsNotMatchedToRetry(t *testing.T) {
	var mu sync.Mutex
	var conns []*fakeplatform.Conn
	w := &fakeplatform.Worker{ID: "w", Handle: func(r fakeplatform.Request) {
		if r.Command != "exec" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if conns = append(conns, r.Conn); len(conns) == 1 {
			r.Conn.WriteMessage(r.ID, "nothing", "-", "")
			return
		}
		conns[0].WriteMessage(r.ID, "ok", "-", "late")
		conns[1].WriteMessage(r.ID, "ok", "-", "its own")
	}}
	h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w", "w"}}, w)
	final := testsupport.Await(t, h.submit(15*time.Second), "the answer")
	mu.Lock()
	defer mu.Unlock()
	if string(final.Attempt.Body) != "its own" || conns[0] == conns[1] {
		t.Errorf("answer %q, same connection %v", final.Attempt.Body, conns[0] == conns[1])
	}
}

// TestStalledResponseResetsConnection checks that a connection is closed if a response on it stalls, and that the
// attempt in flight ends as ConnectionReset, because it may have run.
func TestStalledResponseResetsConnection(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w", Handle: replyRaw("*4\r\n$16\r\n")}
	h := newHarness(t, func(c *Config) { c.StallTimeout = 50 * time.Millisecond }, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
	h.submit(15 * time.Second)
	if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.ConnectionReset {
		t.Errorf("%+v", ended)
	}
}
