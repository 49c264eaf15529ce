package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) f() float64  { l.mu.Lock(); defer l.mu.Unlock(); return l.r.Float64() }
func (l *lockedRand) n(n int) int { l.mu.Lock(); defer l.mu.Unlock(); return l.r.IntN(n) }

// randomServer is a model server whose answers go wrong at random.
type randomServer struct {
	server
	rnd    *lockedRand
	copies map[string]time.Time
	cmu    sync.Mutex
	miss   bool
	// resetNew and resetUnder are the shares of new connections and of requests that end in a reset. A connection that has
	// rested for longer than forgets is no longer answered; 0: all are.
	resetNew, resetUnder float64
	forgets              time.Duration
}

func (s *randomServer) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if s.rnd.f() < s.resetNew {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				continue
			}
			go s.converse(c)
		}
	}()
	return nil
}

func (s *randomServer) converse(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var wm sync.Mutex
	raw := func(t string) { wm.Lock(); defer wm.Unlock(); _, _ = c.Write([]byte(t)) }
	reply := func(items ...string) { raw(encodeMessage(items...)) }
	last, forgotten := time.Now(), false
	for {
		items, err := readMessage(in)
		if err != nil {
			return
		}
		forgotten = forgotten || s.forgets > 0 && time.Since(last) > s.forgets
		last = time.Now()
		if forgotten {
			continue
		}
		switch items[0] {
		case "exec":
			go func() {
				f := parseFields(items[2])
				id, class, key := items[1], f["cls"], f["nonce"]
				at := s.rec.now()
				s.cmu.Lock()
				_, has := s.copies[f["item"]]
				s.cmu.Unlock()
				p := s.rnd.f()
				word, ran := "ok", true
				switch {
				case s.miss && !has:
					word, ran = "nothing", false
				case p < 0.05:
					word, ran = "refused", false
				case p < 0.07:
					word, ran = "stale", false
				case p < 0.10:
					word, ran = "error", true
				case p < 0.10+s.resetUnder/2:
					word, ran = "reset", true
				case p < 0.10+s.resetUnder:
					word, ran = "reset", false
				case p < 0.11+s.resetUnder:
					word, ran = "", true
				case p < 0.12+s.resetUnder:
					word, ran = "", false
				case p < 0.14+s.resetUnder:
					word, ran = "garbage", true
				case p < 0.16+s.resetUnder:
					word, ran = "partial", true
				case p < 0.17+s.resetUnder:
					word, ran = "close", true
				}
				runs.arrived(&s.server, id, class, key, at, word, ran)
				d := time.Duration(s.rnd.f()*80) * time.Millisecond
				if s.rnd.f() < 0.03 {
					d = time.Duration(s.rnd.f()*3000) * time.Millisecond
				}
				if word == "refused" || word == "nothing" || word == "stale" {
					d /= 10
				}
				time.Sleep(d)
				s.rec.add("server %s cell=%d got exec %s class=%s key=%s at %.4f, ran=%v, answers %s", s.id, s.cell, id, class, key, at.Seconds(), ran, word)
				switch word {
				case "":
				case "reset":
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				case "close":
					reply(id, "ok", "-", "done "+id)
					_ = c.Close()
				case "garbage":
					raw("*4\r\n$16\r\n" + id + "\r\n$2\r\nzz\r\n")
				case "partial":
					m := encodeMessage(id, "ok", "-", "done "+id)
					raw(m[:len(m)-5])
				default:
					body := ""
					if word == "ok" {
						body = "done " + id
					}
					if s.rnd.f() < 0.05 {
						reply(randomHex(16), "ok", "-", "done x")
					}
					reply(id, word, "company=0,meter=inflight:3", body)
					if s.rnd.f() < 0.2 {
						time.Sleep(time.Duration(s.rnd.f()*30) * time.Millisecond)
						reply(id, word, "company=0", body)
					}
				}
			}()
		case "ensure":
			go func() {
				f := parseFields(items[2])
				p := s.rnd.f()
				time.Sleep(time.Duration(100+s.rnd.f()*500) * time.Millisecond)
				switch {
				case p < 0.05:
					reply(items[1], "refused", "slots_up=0", "")
				case p < 0.1:
					reply(items[1], "error", "slots_up=0", "")
				case p < 0.12:
				default:
					s.cmu.Lock()
					s.copies[f["item"]] = time.Now()
					s.cmu.Unlock()
					reply(items[1], "ok", "slots_up=1", "")
				}
			}()
		case "health", "load":
			if s.rnd.f() < 0.98 {
				reply(items[1], "yes", "meter=inflight:2", "")
			}
		}
	}
}

// randomAnswers plays two routers among servers whose answers are lost, late, repeated, spoilt or refused at random, and
// clients of which a tenth leave. VARIANT chooses the settings.
func randomAnswers(root, dir string, rec *record, _ bool) error {
	rnd := &lockedRand{r: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3))}
	settings := ikejaSettings
	variant := os.Getenv("VARIANT")
	miss := false
	if strings.Contains(variant, "miss") {
		settings = strings.Replace(settings, `"when_absent":"load"`, `"when_absent":"miss"`, 1)
		settings = strings.Replace(settings, `"drain_grace":500000`, `"drain_grace":250000`, 1)
		miss = true
	}
	if strings.Contains(variant, "single") {
		settings = strings.Replace(settings, `"second_copies":true`, `"second_copies":false`, 1)
		settings = strings.Replace(settings, `"how":"piggyback"`, `"how":"pull"`, 1)
	}
	if strings.Contains(variant, "noprobe") {
		settings = strings.Replace(settings, `"may_probe":true`, `"may_probe":false`, 1)
	}
	if strings.Contains(variant, "short") {
		settings = strings.Replace(settings, `"deadline":3000000`, `"deadline":300000`, -1)
		settings = strings.Replace(settings, `"deadline":2500000`, `"deadline":300000`, -1)
	}
	if miss {
		settings = strings.Replace(settings, `"free_loads":4.0`, `"free_loads":60.0`, 1)
	}
	keys := map[int]*keyStore{1: {}, 2: {}, 3: {}}
	var members []string
	for i := range 9 {
		s := &randomServer{rnd: rnd, copies: map[string]time.Time{}, miss: miss, resetNew: 0.02, resetUnder: 0.03}
		if strings.Contains(variant, "resets") {
			s.resetNew, s.resetUnder = 0.5, 0.3
		}
		if strings.Contains(variant, "forget") {
			s.forgets = 300 * time.Millisecond
		}
		s.id, s.cell, s.rec, s.keys = fmt.Sprintf("s-%d", i), 1+i%3, rec, keys[1+i%3]
		if err := s.listen(); err != nil {
			return err
		}
		members = append(members, member(&s.server, "active"))
	}
	ch, err := startChannel(rec, nodesEvent(true, members...))
	if err != nil {
		return err
	}
	routers, groups, err := startRouters(root, dir, rec, ch, 2, settings)
	for _, r := range routers {
		defer r.kill()
	}
	if err != nil {
		return err
	}
	end := time.Now().Add(25 * time.Second)
	var traffic sync.WaitGroup
	for _, g := range groups {
		g.leave = func() time.Duration {
			if rnd.f() < 0.1 {
				return time.Duration(rnd.f()*400) * time.Millisecond
			}
			return 0
		}
		traffic.Add(1)
		go func() {
			defer traffic.Done()
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rnd.f()*20) * time.Millisecond)
				class := []string{"quote", "renew", "points"}[rnd.n(3)]
				deadline := time.Duration(1500+rnd.f()*1000) * time.Millisecond
				if strings.Contains(variant, "short") {
					deadline = time.Duration(1+rnd.f()*300) * time.Millisecond
				}
				g.start(class, fmt.Sprintf("%016x", 1+rnd.n(30)), deadline, "memory_mb:512;lanes:2;load_ms:340")
			}
		}()
	}
	traffic.Wait()
	for _, g := range groups {
		g.wg.Wait()
	}
	checkAnswersAndRuns(rec, groups)
	recordServed(rec, groups)
	return nil
}

// checkAnswersAndRuns checks rules 1 and 2.
func checkAnswersAndRuns(rec *record, groups []*clients) {
	calls := map[string]*call{}
	count := map[string]int{}
	for _, g := range groups {
		for _, k := range g.calls() {
			calls[k.id] = k
			switch {
			case k.left > 0:
			case k.err != nil:
				rec.violation("rule 1: call %s class %s: sent %.4f: %v", k.id, k.class, k.sent.Seconds(), k.err)
			case k.answered > k.sent+k.deadline+550*time.Millisecond:
				rec.violation("rule 1: call %s late by %v", k.id, k.answered-k.sent-k.deadline)
			case k.status == 200 && k.body != "done "+k.id:
				rec.violation("rule 1: call %s wrong body %q", k.id, k.body)
			}
			count[fmt.Sprint(k.class, " ", k.status, " left=", k.left > 0)]++
		}
	}
	rec.add("%v", count)
	by := map[string][]*execution{}
	for _, e := range runs.list() {
		by[e.id] = append(by[e.id], e)
	}
	for id, es := range by {
		k := calls[id]
		if k == nil {
			rec.violation("rule 2: unknown id %s", id)
			continue
		}
		var may *execution
		for _, e := range es {
			if k.left > 0 && e.at > k.left+100*time.Millisecond+50*time.Millisecond {
				rec.violation("rule 1: call %s left at %.4f, attempt at %.4f", id, k.left.Seconds(), e.at.Seconds())
			}
			if k.left == 0 && k.answered > 0 && e.at > k.answered+20*time.Millisecond {
				rec.violation("rule 1: call %s answered at %.4f, attempt at %.4f", id, k.answered.Seconds(), e.at.Seconds())
			}
			neverRan := e.word == "refused" || e.word == "nothing" || e.word == "stale"
			if may != nil {
				switch {
				case k.class == "points":
					rec.violation("rule 2: points %s sent at %.4f to %s (%s) after %.4f to %s (%s)", id, e.at.Seconds(), e.server, e.word, may.at.Seconds(), may.server, may.word)
				case k.class == "renew" && may.cell != e.cell:
					rec.violation("rule 2: renew %s cell", id)
				}
			}
			if !neverRan && may == nil {
				may = e
			}
		}
		if may != nil && (k.status == 503 || k.status == 429) && k.class != "quote" {
			rec.violation("rule 2: %s %s refused after it may have run (%s at %s)", k.class, id, may.word, may.server)
		}
	}
}
