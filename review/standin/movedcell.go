package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// Times of the case moved-cell, since the routers are ready.
const (
	mcSilentAt    = 3 * time.Second  // the command channel falls silent
	mcReplacedAt  = 4 * time.Second  // a server dies
	mcNewServerIn = time.Second      // until a new one answers at its address
	mcEnd         = 31 * time.Second // the traffic ends

	mcToldAfter = 7 * time.Second       // the pages: counts as told at the latest 7 s after the silence began
	mcSlack     = 50 * time.Millisecond // the pages: each time limit is 50 ms longer
	mcFailShare = 0.8                   // the pages: 66 to 96% of one class's requests fail
)

// movedCell: while the command channel is silent, a server is replaced by a new one of another cell at the same address,
// which fails one class. Repeats of keyed requests must stay in the cell of the attempt that may have run.
func movedCell(root, dir string, rec *record, trouble bool) error {
	var servers []*server
	var members []string
	keys := map[int]*keyStore{1: {}, 2: {}}
	for cell := 1; cell <= 2; cell++ {
		for i := 1; i <= 4; i++ {
			s := &server{id: fmt.Sprintf("s-%d%d", cell, i), cell: cell, rec: rec, keys: keys[cell], work: 60 * time.Millisecond}
			if err := s.start(); err != nil {
				return err
			}
			servers = append(servers, s)
			members = append(members, member(s, "active"))
		}
	}
	ch, err := startChannel(rec, nodesEvent(true, members...))
	if err != nil {
		return err
	}
	routers, groups, err := startRouters(root, dir, rec, ch, 3, ikejaSettings)
	for _, r := range routers {
		defer r.kill()
	}
	if err != nil {
		return err
	}
	begin := time.Now()
	wait := func(at time.Duration) { time.Sleep(time.Until(begin.Add(at))) }
	var traffic sync.WaitGroup
	for i, group := range groups {
		traffic.Add(1)
		go func() {
			defer traffic.Done()
			sendTraffic(group, begin.Add(mcEnd), uint64(i))
		}()
	}
	wait(mcSilentAt)
	silentAt := rec.now()
	if trouble {
		ch.setSilent(true)
	}
	wait(mcReplacedAt)
	old := servers[0]
	old.kill()
	ch.tell(member(old, "left"))
	time.Sleep(mcNewServerIn)
	fresh := &server{id: "s-25", cell: 2, addr: old.addr, startMS: time.Now().UnixMilli(), rec: rec, keys: keys[2], work: old.work}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 1))
	fresh.exec = func(_ *server, class string) (string, bool) {
		mu.Lock()
		defer mu.Unlock()
		if class == "renew" && random.Float64() < mcFailShare {
			return "error", true
		}
		return "ok", true
	}
	if err := fresh.start(); err != nil {
		return err
	}
	ch.tell(member(fresh, "active"))
	traffic.Wait()
	for _, group := range groups {
		group.wg.Wait()
	}
	checkGroups(rec, silentAt+mcToldAfter+mcSlack)
	recordServed(rec, groups)
	return nil
}

// sendTraffic sends 40 calls a second, at random times, until end.
func sendTraffic(group *clients, end time.Time, seed uint64) {
	sendTrafficUntil(group, end, nil, seed)
}

// sendTrafficUntil is like sendTraffic, but also ends when stop is closed.
func sendTrafficUntil(group *clients, end time.Time, stop <-chan struct{}, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	for time.Now().Before(end) && !isClosed(stop) {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(25*time.Millisecond)))
		class, prefix, deadline := "quote", 1, 3*time.Second
		switch p := random.Float64(); {
		case p < 0.28:
			class, prefix, deadline = "renew", 2, 3*time.Second
		case p < 0.49:
			class, prefix, deadline = "points", 3, 2500*time.Millisecond
		}
		function := fmt.Sprintf("%08x%08x", prefix, random.IntN(12))
		deadline = time.Duration(float64(deadline) * (0.5 + 0.5*random.Float64()))
		group.start(class, function, deadline, "memory_mb:512;lanes:2;load_ms:640")
	}
}

// checkGroups checks that no attempt of a keyed request came to a server of another cell than an earlier attempt that may
// have run. Attempts that came before judgedFrom are not judged.
func checkGroups(rec *record, judgedFrom time.Duration) {
	byKey := map[string][]*execution{}
	for _, e := range runs.list() {
		if e.class == "renew" {
			byKey[e.key] = append(byKey[e.key], e)
		}
	}
	for key, attempts := range byKey {
		sort.Slice(attempts, func(a, b int) bool { return attempts[a].at < attempts[b].at })
		for i, later := range attempts {
			for _, earlier := range attempts[:i] {
				if later.at < judgedFrom || !earlier.ran || later.cell == earlier.cell {
					continue
				}
				rec.violation("key %s: ran at %s (cell %d) at %.4f, answered %s; sent again to %s (cell %d) at %.4f, answered %s, effects: %v and %v",
					key, earlier.server, earlier.cell, earlier.at.Seconds(), earlier.word, later.server, later.cell,
					later.at.Seconds(), later.word, earlier.effect, later.effect)
			}
		}
	}
}
