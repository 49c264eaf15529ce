package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// registrosSettings are the settings of gt-registros, see ikejaSettings.
const registrosSettings = `{"az":"guate-zona4","azs":["guate-zona4"],"balancers":2,"me":0,"family":"warm",
"host_types":["std-3c","slow-3c"],"step":4000,"registry_mode":"push","weight_source":"rough","worth_by":"request",
"classes":[
 {"name":"consulta","target":750000,"deadline":3000000,"semantics":"read_like","dedup_scope":"all","window":5000000,"late_share":0.1,"stream":false,"worth":1.0},
 {"name":"registro-horas","target":600000,"deadline":2500000,"semantics":"idempotency_key","dedup_scope":"all","window":2500000,"late_share":0.2,"stream":false,"worth":3.0},
 {"name":"certificado","target":750000,"deadline":2500000,"semantics":"non_idempotent","dedup_scope":"all","window":5000000,"late_share":0.3,"stream":false,"worth":2.0}],
"client_habits":{"marks_retry":false},
"deductions":{"connection":0.0,"cross_zone":0.0,"handshake":0.0,"late_fail":0.027,"moves":0.0,"origin":0.03,"peer":0.0,"probe":0.008,"registry_mode":0.0,"waste":0.025},
"family_info":{"free_loads":0.0,"idle_price":0.15,"kind_memory_mb":[9600.0,9600.0],"linger_idle":9000000,"load_ratio":0.0,
 "load_span":0,"may_order":false,"order_timeout":10000000,"says_company":true,"tells_warm":false,"when_absent":"load"},
"feedback":{"how":"piggyback","fields":["cpu"]},
"goal":{"whole":0.5,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.3},
"limits":{"cancel":true,"connect_timeout":250000,"cpu_us_per_request":0,"idle_close":15000000,"max_retry_after":500000,"may_probe":true,
 "open_cap":4096,"peers":false,"retry_after":true,"second_copies":true,"send_cap":4,"streams_per_conn":100},
"safety":{"ask_within":0,"drain_grace":1000000,"fall":2000000,"grace_to_answer":50000,"overload_factor":3.0,"start_capacity":0.25,"warm_within":17000000},
"tier":0,"tiers":["trabajadores"],"projects":[]}`

// Figures of the case slow-channel; times since the routers are ready.
const (
	scSlowAt = 3 * time.Second
	scDelay  = 2 * time.Second // of each answer of the channel
	scEnd    = 31 * time.Second
	scGrace  = time.Second           // the site's grace for drains
	scSlack  = 50 * time.Millisecond // each time limit is 50 ms longer
)

// slowChannel: the command channel answers late for longer than 7 s. Then servers drain. Nothing new may come to them once
// the grace is over.
func slowChannel(root, dir string, rec *record, trouble bool) error {
	var servers []*server
	var members []string
	for i := range 10 {
		s := &server{id: fmt.Sprintf("s-%02d", i+1), cell: 1 + i/5, rec: rec, work: 60 * time.Millisecond}
		if err := s.start(); err != nil {
			return err
		}
		servers = append(servers, s)
		members = append(members, member(s, "active"))
	}
	ch, err := startChannel(rec, nodesEvent(true, members...))
	if err != nil {
		return err
	}
	routers, groups, err := startRouters(root, dir, rec, ch, 2, registrosSettings)
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
			random := rand.New(rand.NewPCG(uint64(i), 7))
			for time.Since(begin) < scEnd {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(25*time.Millisecond)))
				class := []string{"consulta", "registro-horas", "certificado"}[random.IntN(3)]
				deadline := time.Duration((1.25 + 1.25*random.Float64()) * float64(time.Second))
				group.start(class, fmt.Sprintf("%016x", 1+random.IntN(20)), deadline, "memory_mb:512;lanes:2")
			}
		}()
	}
	wait(scSlowAt)
	if trouble {
		ch.setDelay(scDelay)
	}
	told := map[string]time.Duration{}
	drainTimes := []time.Duration{12 * time.Second, 14300 * time.Millisecond, 16500 * time.Millisecond, 18900 * time.Millisecond, 21200 * time.Millisecond}
	for i, at := range drainTimes {
		wait(at)
		s := servers[i]
		s.setDraining(true)
		ch.tell(member(s, "leaving"))
		told[s.id] = rec.now()
	}
	traffic.Wait()
	for _, group := range groups {
		group.wg.Wait()
	}
	for _, e := range runs.received() {
		if at, drains := told[e.server]; drains && e.at > at+scGrace+scSlack {
			rec.violation("%s came to %s at %.4f, %.3f s after the channel told that it drains", e.what, e.server, e.at.Seconds(), (e.at - at).Seconds())
		}
	}
	recordServed(rec, groups)
	return nil
}
