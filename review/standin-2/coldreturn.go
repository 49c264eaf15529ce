package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Figures of the cold-return case.
const (
	coldRouters   = 100
	coldServers   = 16
	coldWork      = 150 * time.Millisecond // mean work of a call
	coldRoom      = 30                     // calls that a server holds: three slots and three places to wait for each core
	coldLoad      = 1.2                    // of the capacity of all servers: 0.8, and a burst of half as much again
	coldFunctions = 60
	coldWarm      = 8 * time.Second         // calls before the quiet time
	coldQuiet     = 8 * time.Second         // without calls, until the restart
	coldOutage    = 5500 * time.Millisecond // from the start of the quiet time until the channel breaks off
	coldEnd       = 13500 * time.Millisecond
	coldBusy      = 5 * time.Second // calls after the restart
	fallWindow    = 1500 * time.Millisecond
	fallFactor    = 3
)

// coldReturn plays a model server that restarts in a quiet time while the command channel is down. Without the trouble the
// server restarts just so, and the channel tells it.
func coldReturn(c *environment) (broken bool, err error) {
	network := newLink()
	var servers []*server
	var addresses, members []string
	for i := range coldServers {
		s := newServer(c.record, fmt.Sprintf("s-%08x", 0xc41f7a+i*7919), []string{"hall-a", "hall-b", "hall-c"}[i%3], i/4,
			&keys{seen: map[string]time.Time{}})
		s.meanWork, s.room = coldWork, coldRoom
		opened, err := network.listen(func(conn net.Conn) { s.serve(conn) })
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		addresses = append(addresses, opened.address)
		members = append(members, member(s, opened.address, "active", 0))
	}
	commands := &publicChannel{channel: newChannel(listEvent(true, members))}
	if err := commands.open(); err != nil {
		return false, err
	}
	var groups []*clients
	for i := range coldRouters {
		r, err := startRouter(c, fmt.Sprintf("n%d", i), settings(coldRouters), commands.address, commands.after(0),
			limits{Cores: 1, MemoryMB: 64, Sockets: 640})
		if err != nil {
			return false, err
		}
		defer r.kill()
		groups = append(groups, &clients{record: c.record, router: r})
	}
	callSome(groups, coldWarm)
	quietSince := time.Now()
	time.Sleep(coldOutage)
	if c.trouble {
		c.record.add("the command channel breaks off")
		commands.breakOff()
	}
	time.Sleep(time.Until(quietSince.Add(coldQuiet)))
	restarted := busiest(servers)
	for i, s := range servers {
		if s == restarted {
			s.restart()
			commands.add(listEvent(false, []string{member(s, addresses[i], "active", s.startedAt.UnixMilli())}))
		}
	}
	time.Sleep(50 * time.Millisecond)
	busy := make(chan struct{})
	go func() {
		callSome(groups, coldBusy)
		close(busy)
	}()
	time.Sleep(time.Until(quietSince.Add(coldEnd)))
	if c.trouble {
		if err := commands.open(); err != nil {
			return false, err
		}
		c.record.add("the command channel is back")
	}
	<-busy
	for _, group := range groups {
		group.sending.Wait()
	}
	return reportFall(c.record, restarted), nil
}

// busiest returns the server that has got the most calls.
func busiest(servers []*server) *server {
	return slices.MaxFunc(servers, func(a, b *server) int { return len(a.arrivals) - len(b.arrivals) })
}

// callSome has the clients of all routers call at random times.
func callSome(groups []*clients, length time.Duration) {
	rate := coldLoad * coldServers * serverCores / coldWork.Seconds() / float64(len(groups))
	var calling sync.WaitGroup
	for _, group := range groups {
		calling.Add(1)
		go func() {
			defer calling.Done()
			end := time.Now().Add(length)
			for next := time.Now(); ; {
				next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
				if next.After(end) {
					return
				}
				time.Sleep(time.Until(next))
				function := int(coldFunctions * math.Pow(rand.Float64(), 2))
				group.send(&call{id: newID(), class: "quote", function: fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+function),
					deadline: 3 * time.Second})
			}
		}()
	}
	calling.Wait()
}

// reportFall records how the calls that reached a cold server compare with its limit, and reports whether they exceeded
// it: N + 2 x root of N + 2 (N under 30: N + 3 x root of N + 3) calls in the window, N being what the settings allow.
func reportFall(to *record, s *server) (fallen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	highest := 0.0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) > fallWindow {
			first++
		}
		age := at.Sub(s.startedAt)
		capacity := min(1, startCapacity+(1-startCapacity)*float64(age)/float64(warmWithin))
		if capacity == 1 {
			break
		}
		n := fallFactor * capacity * serverCores * fallWindow.Seconds() / s.meanWork.Seconds()
		limit := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			limit = n + 3*math.Sqrt(n) + 3
		}
		count := float64(i - first + 1)
		if share := count / limit; share > highest {
			highest = share
			to.add("server %s, %.2f s after its start: %.0f calls within %v, limit %.1f", s.id, age.Seconds(), count, fallWindow, limit)
		}
		fallen = fallen || count > limit
	}
	to.add("server %s got %d calls since its start, at most %.0f%% of the limit", s.id, len(s.arrivals), highest*100)
	return fallen
}
