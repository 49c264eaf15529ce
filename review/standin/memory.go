package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the cases about memory.
const (
	memBadFrom   = 5 * time.Second // the bad clients begin
	memSampling  = 20 * time.Millisecond
	memRecording = 500 * time.Millisecond
)

// badClient is one of the bad clients of a case.
type badClient interface {
	// run plays the client until end, or until stop is closed.
	run(addr string, end time.Time, stop <-chan struct{})
	// progress tells what all clients of the case have sent so far.
	progress() string
}

// emptyLines: one bad client sends empty lines without end. The router must stay within its limit of memory.
func emptyLines(root, dir string, rec *record, trouble bool) error {
	return playMemory(root, dir, rec, trouble, 192, 45*time.Second, []badClient{&emptyLineSender{}})
}

// unknownFunctions: bad clients call functions that no model server knows, each time another one. The router must stay
// within its limit of memory.
func unknownFunctions(root, dir string, rec *record, trouble bool) error {
	var counts callCounts
	var bad []badClient
	for range 40 {
		bad = append(bad, &unknownFunctionCaller{counts: &counts})
	}
	return playMemory(root, dir, rec, trouble, 64, 100*time.Second, bad)
}

// playMemory plays usual traffic to one router for a duration, beside it the bad clients, and the platform, which kills the router when
// it is over its limit of memory.
func playMemory(root, dir string, rec *record, trouble bool, limitMB int, duration time.Duration, bad []badClient) error {
	memoryMB, oneCore = limitMB, true
	var members []string
	for i := range 12 {
		s := &server{id: fmt.Sprintf("s-%02d", i+1), cell: 1 + i/4, rec: rec, keys: &keyStore{}, work: 60 * time.Millisecond, known: knownFunction}
		if err := s.start(); err != nil {
			return err
		}
		members = append(members, member(s, "active"))
	}
	ch, err := startChannel(rec, nodesEvent(true, members...))
	if err != nil {
		return err
	}
	routers, groups, err := startRouters(root, dir, rec, ch, 1, ikejaSettings)
	for _, r := range routers {
		defer r.kill()
	}
	if err != nil {
		return err
	}
	begin := time.Now()
	end := begin.Add(duration)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		sendTrafficUntil(groups[0], end, stop, 1)
	}()
	progress := func() string { return "no bad clients" }
	if trouble {
		progress = bad[0].progress
		for _, client := range bad {
			running.Add(1)
			go func() {
				defer running.Done()
				time.Sleep(time.Until(begin.Add(memBadFrom)))
				client.run(groups[0].addr, end, stop)
			}()
		}
	}
	watchMemory(routers[0], rec, limitMB, progress, end)
	close(stop)
	running.Wait()
	groups[0].wg.Wait()
	lost := 0
	for _, k := range groups[0].calls() {
		if k.err != nil && k.sent > 0 {
			lost++
		}
	}
	recordServed(rec, groups)
	rec.add("%d calls of usual clients that were sent got no whole answer", lost)
	rec.add("bad clients: %s", progress())
	return nil
}

// knownFunction reports whether a function is one of those that the usual clients call.
func knownFunction(function string) bool { return strings.HasPrefix(function, "0000000") }

// watchMemory plays the part of the platform that kills a router over its limit of memory. It counts only what is the
// process's own (RssAnon), not the pages of its program file.
func watchMemory(r *router, rec *record, limitMB int, progress func() string, end time.Time) {
	started, recorded := time.Now(), time.Time{}
	pid := r.cmd.Process.Pid
	cpuBefore := cpuSeconds(pid)
	for time.Now().Before(end) {
		kb := statusKB(pid, "RssAnon")
		cores := (cpuSeconds(pid) - cpuBefore) / max(time.Since(started).Seconds(), 0.001)
		if time.Since(recorded) > memRecording {
			recorded = time.Now()
			rec.add("router %s: RssAnon %d kB, %.2f cores since the start; %s", r.name, kb, cores, progress())
		}
		if kb > limitMB*1024 {
			rec.violation("router %s holds %d kB, its limit is %d MB: the platform kills it at %.4f; %.2f cores used since the start; %s",
				r.name, kb, limitMB, rec.now().Seconds(), cores, progress())
			r.expectEnd()
			r.signal(syscall.SIGKILL)
			<-r.ended
			return
		}
		time.Sleep(memSampling)
	}
}

// emptyLineSender sends nothing but empty lines on one connection, and reads what it is sent. If it is closed, it
// connects again.
type emptyLineSender struct{ sent, answers, closed atomic.Int64 }

func (e *emptyLineSender) progress() string {
	return fmt.Sprintf("%d kB of empty lines sent, %d bytes received, closed %d times", e.sent.Load()/1024, e.answers.Load(), e.closed.Load())
}

func (e *emptyLineSender) run(addr string, end time.Time, stop <-chan struct{}) {
	const rate = 20 << 20 // bytes a second, far below full speed
	block := []byte(strings.Repeat("\r\n", 16<<10))
	begin := time.Now()
	for time.Now().Before(end) && !isClosed(stop) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		go func() {
			buffer := make([]byte, 4096)
			for {
				n, err := conn.Read(buffer)
				e.answers.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
		for time.Now().Before(end) && !isClosed(stop) {
			time.Sleep(time.Until(begin.Add(time.Duration(float64(e.sent.Load()) / rate * float64(time.Second)))))
			_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
			n, err := conn.Write(block)
			e.sent.Add(int64(n))
			if err != nil {
				e.closed.Add(1)
				break
			}
		}
		_ = conn.Close()
	}
}

// callCounts counts the requests of all callers of unknown functions.
type callCounts struct{ sent, answered, served, refused atomic.Int64 }

// unknownFunctionCaller calls functions that no model server knows. It sends its next request once the last one is
// answered.
type unknownFunctionCaller struct{ counts *callCounts }

func (u *unknownFunctionCaller) progress() string {
	c := u.counts
	return fmt.Sprintf("%d requests to unknown functions sent, %d answered, %d of them with 200, %d with 429 or 503",
		c.sent.Load(), c.answered.Load(), c.served.Load(), c.refused.Load())
}

func (u *unknownFunctionCaller) run(addr string, end time.Time, stop <-chan struct{}) {
	for time.Now().Before(end) && !isClosed(stop) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		u.use(conn, end, stop)
		_ = conn.Close()
	}
}

// use sends requests on a connection until the router closes it.
func (u *unknownFunctionCaller) use(conn net.Conn, end time.Time, stop <-chan struct{}) {
	in := bufio.NewReader(conn)
	for time.Now().Before(end) && !isClosed(stop) {
		u.counts.sent.Add(1)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := fmt.Fprintf(conn, "POST /call/%s/call HTTP/1.1\r\nHost: service.internal\r\nX-Class: quote\r\nX-Correlation-Id: %s\r\n"+
			"X-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n", "f"+randomHex(16)[1:], randomHex(16)); err != nil {
			return
		}
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil {
			return
		}
		u.counts.answered.Add(1)
		switch response.StatusCode {
		case http.StatusOK:
			u.counts.served.Add(1)
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			u.counts.refused.Add(1)
		}
		if response.Close {
			return
		}
	}
}

func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// statusKB returns a figure of /proc/PID/status in kB.
func statusKB(pid int, name string) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb
		}
	}
	return 0
}

// cpuSeconds returns the processor time that a process has used.
func cpuSeconds(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return float64(user+system) / 100
}
