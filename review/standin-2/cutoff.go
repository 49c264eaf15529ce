package main

import (
	"fmt"
	"net"
	"time"
)

// Traffic and length of the cut-off case.
const (
	cutOffServers   = 120
	cutOffFunctions = 6
	cutOffBatch     = 20 // calls that arrive together
	cutOffPeriod    = 500 * time.Millisecond
	cutOffBefore    = 8 // seconds
	cutOffLength    = 6
	cutOffAfter     = 6
)

// cutOff plays a router whose zone is partitioned from the others for 6 s, while calls go on to arrive.
func cutOff(c *environment) (broken bool, err error) {
	network := newLink()
	var members []string
	cellKeys := map[int]*keys{}
	for i := range cutOffServers {
		zone, cell := []string{"hall-a", "hall-b"}[i%2], i/6
		if cellKeys[cell] == nil {
			cellKeys[cell] = &keys{seen: map[string]time.Time{}}
		}
		s := newServer(c.record, fmt.Sprintf("s-%08x", 0xc41f7a+i*7919), zone, cell, cellKeys[cell])
		opened, err := network.listen(func(conn net.Conn) { s.serve(conn) })
		if err != nil {
			return false, err
		}
		members = append(members, member(s, opened.address, "active", 0))
	}
	commands := newChannel(listEvent(true, members))
	channelAddress, err := commands.serve(network)
	if err != nil {
		return false, err
	}
	r, err := startRouter(c, "n3", settings(300), channelAddress, commands.after(0), limits{Cores: 1, MemoryMB: 64, Sockets: 640})
	if err != nil {
		return false, err
	}
	defer r.kill()
	traffic := &clients{record: c.record, router: r}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(cutOffPeriod)
		defer ticker.Stop()
		for sent := 0; ; {
			var calls []*call
			for range cutOffBatch {
				function := fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+sent%cutOffFunctions)
				calls = append(calls, &call{id: newID(), class: "quote", function: function, deadline: 3 * time.Second})
				sent++
			}
			traffic.send(calls...)
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	r.watch(c.record, cutOffBefore)
	if c.trouble {
		c.record.add("the zone of %s is partitioned from the others", r.name)
		network.cut()
	}
	r.watch(c.record, cutOffLength)
	if c.trouble {
		network.restore()
		c.record.add("the partition ends")
	}
	r.watch(c.record, cutOffAfter)
	close(stop)
	<-stopped
	traffic.sending.Wait()
	return traffic.reportLost(), nil
}
