package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// shutdown: a planned restart while four of twelve servers hang and 200 clients send half a request. Each request sent by
// 0.5 s after SIGTERM must be answered before SIGKILL.
func shutdown(root, dir string, rec *record, _ bool) error {
	sockets = 1024
	var members []string
	for i := range 12 {
		s := &server{id: fmt.Sprintf("s-%02d", i+1), cell: 1 + i/4, rec: rec, keys: &keyStore{}, work: 60 * time.Millisecond}
		if i < 4 {
			s.exec = func(*server, string) (string, bool) { return "", true }
		}
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
	g, r := groups[0], routers[0]
	stop := make(chan struct{})
	var bad sync.WaitGroup
	for range 200 {
		bad.Add(1)
		go func() {
			defer bad.Done()
			for !isClosed(stop) {
				c, err := net.DialTimeout("tcp", g.addr, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				_, _ = io.WriteString(c, "POST /call/0000000000000001/call HTTP/1.1\r\nHost: x\r\nX-Cl")
				_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}
		}()
	}
	endTraffic := make(chan struct{})
	var traffic sync.WaitGroup
	for i := range 4 {
		traffic.Add(1)
		go func() {
			defer traffic.Done()
			sendTrafficUntil(g, time.Now().Add(time.Minute), endTraffic, uint64(i))
		}()
	}
	time.Sleep(8 * time.Second)
	r.expectEnd()
	r.signal(syscall.SIGTERM)
	at := time.Now()
	time.Sleep(300 * time.Millisecond)
	g.mu.Lock()
	g.openOnly = true
	g.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	close(endTraffic)
	time.Sleep(time.Until(at.Add(3700 * time.Millisecond)))
	_ = r.cmd.Process.Kill()
	<-r.ended
	close(stop)
	traffic.Wait()
	g.wg.Wait()
	bad.Wait()
	checkAnswersAndRuns(rec, groups)
	return nil
}
