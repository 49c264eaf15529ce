package httpserver

import (
	"io"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/transport/http1"
)

// systemTimeResolution is the maximum error of the system's report of a segment's age.
const systemTimeResolution = 20 * time.Millisecond

// TestDeadlineCountsFromArrival checks that the time for which a request waited before it was read counts against its
// deadline.
func TestDeadlineCountsFromArrival(t *testing.T) {
	s, _ := startServer(t, nil)
	reader := http1.NewReader(s.cfg.Limits)
	_ = reader.Add([]byte(newRequest(servedFunction, "", "X-Deadline-Ms: 1500")))
	m, err := reader.Next()
	if err != nil {
		t.Fatal(err)
	}
	call, _, err := s.parseCall(m, time.Now().Add(-400*time.Millisecond))
	if err != nil || call.RemainingDeadline > 1100*time.Millisecond || call.RemainingDeadline < 500*time.Millisecond {
		t.Errorf("remaining %v, %v", call.RemainingDeadline, err)
	}
	if err == nil && call.MeasuredAt.IsZero() {
		t.Error("MeasuredAt is not set")
	}
}

// TestArrivalAgeIsValidated checks that newArrival accepts any age of a segment that is not greater than the server's
// uptime, and no other.
func TestArrivalAgeIsValidated(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct{ listening, age, want time.Duration }{
		"just come":                    {time.Hour, 0, 0},
		"1 ms":                         {time.Hour, time.Millisecond, time.Millisecond},
		"ten minutes":                  {time.Hour, 10 * time.Minute, 10 * time.Minute},
		"longer than we have listened": {time.Minute, 10 * time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			info := &unix.TCPInfo{Last_data_recv: uint32(c.age.Milliseconds())}
			if got := now.Sub(newArrival(info, now, now.Add(-c.listening)).last); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// TestDeadlineOfPipelinedRequestCountsFromArrival checks that the time for which a request waits for the response to
// the previous one on its connection counts against its deadline. The second request is sent together with the first or
// during its call.
func TestDeadlineOfPipelinedRequestCountsFromArrival(t *testing.T) {
	const wait = 300 * time.Millisecond
	for name, sentTogether := range map[string]bool{"together": true, "during the call": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, upstream := startServer(t, nil)
			calls, answer := make(chan *router.Call, 2), make(chan struct{})
			upstream.mu.Lock()
			upstream.beforeAnswer = func(call *router.Call) { calls <- call; <-answer }
			upstream.mu.Unlock()
			cl := dial(t, s)
			first, second := newRequest(servedFunction, "a"), newRequest(servedFunction, "b", "X-Deadline-Ms: 15000")
			if sentTogether {
				cl.send(first + second)
				<-calls
			} else {
				cl.send(first)
				<-calls
				cl.send(second)
				c := serverSide(t, s, cl)
				testsupport.WaitUntil(t, "the second request", func() bool {
					c.parseMu.Lock()
					defer c.parseMu.Unlock()
					return c.reader.Partial()
				})
			}
			time.Sleep(wait)
			close(answer)
			if remaining := (<-calls).RemainingDeadline; remaining > 15*time.Second-wait+systemTimeResolution {
				t.Errorf("%v of 15 s remain after a wait of %v", remaining, wait)
			}
		})
	}
}

// TestLaterSegmentDoesNotDelayArrivalTime guards against a deadline that is extended because further bytes arrive after
// a request while it waits in the socket. It covers further bytes that are read with the request and ones that are not,
// and first and later requests on a connection.
func TestLaterSegmentDoesNotDelayArrivalTime(t *testing.T) {
	const wait = 300 * time.Millisecond
	s, _ := startServer(t, nil)
	for name, c := range map[string]struct{ served, readAll bool }{
		"first request":               {false, true},
		"first request, rest unread":  {false, false},
		"second request":              {true, true},
		"second request, rest unread": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, client := newUnnotifiedConn(t, s)
			read := func(n int) (arrived time.Time) {
				t.Helper()
				testsupport.WaitUntil(t, "the segment", func() bool { return readable(descriptor(conn.netConn)) })
				current := s.currentArrival(conn.netConn)
				p := make([]byte, n)
				n, err := unix.Read(descriptor(conn.netConn), p)
				if err != nil {
					t.Fatal(err)
				}
				conn.arrivals.update(current)
				conn.arrivals.recordRead(n, false)
				_ = conn.reader.Add(p[:n])
				m, arrived, err := conn.nextRequest()
				if m == nil || err != nil {
					t.Fatal(m, err)
				}
				conn.requestInFlight = false
				return arrived
			}
			if c.served {
				_, _ = io.WriteString(client, pingRequest)
				read(len(pingRequest))
			}
			_, _ = io.WriteString(client, pingRequest)
			sentAt := time.Now()
			time.Sleep(wait)
			_, _ = io.WriteString(client, pingRequest[:9])
			testsupport.WaitUntil(t, "the later segment", func() bool { return s.currentArrival(conn.netConn).segments >= 2 })
			n := len(pingRequest)
			if c.readAll {
				n += 9
			}
			if arrived := read(n); arrived.After(sentAt.Add(systemTimeResolution)) {
				t.Errorf("arrival time is %v after the request was sent", arrived.Sub(sentAt))
			}
		})
	}
}
