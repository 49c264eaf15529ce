package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// crowd plays 300 clients that connect and say nothing, or send half a request, beside usual ones. VARIANT chooses which.
func crowd(root, dir string, rec *record, _ bool) error {
	sockets = 256
	variant := os.Getenv("VARIANT")
	var members []string
	for i := range 12 {
		s := &server{id: fmt.Sprintf("s-%02d", i+1), cell: 1 + i/4, rec: rec, keys: &keyStore{}, work: 60 * time.Millisecond}
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
	g := groups[0]
	g.fresh = strings.Contains(variant, "fresh")
	end := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	for range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				c, err := net.DialTimeout("tcp", g.addr, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if strings.Contains(variant, "half") {
					_, _ = io.WriteString(c, "POST /call/0000000000000001/call HTTP/1.1\r\nHost: x\r\nX-Cl")
				}
				_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}
		}()
	}
	maxFds := 0
	go func() {
		for time.Now().Before(end) {
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", routers[0].cmd.Process.Pid))
			maxFds = max(maxFds, len(entries))
			time.Sleep(5 * time.Millisecond)
		}
	}()
	sendTraffic(g, end, 4)
	wg.Wait()
	g.wg.Wait()
	checkAnswersAndRuns(rec, groups)
	rec.add("router n1 held %d descriptors at most", maxFds)
	return nil
}
