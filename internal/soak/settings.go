package soak

import (
	"fmt"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

// Settings and limits that all schedules share.
const (
	routerMemoryMB    = 64
	routerDescriptors = 512
	loadRateWindow    = 5 * time.Second
	loadRateBurst     = 4
	loadRateRatio     = 0.1
	slowStartShare    = 0.2
	slowStartDuration = 8 * time.Second
	overloadMultiple  = 3
	overloadWindow    = 1500 * time.Millisecond
	maxDeadlineWait   = 3 * time.Second        // longest wait for calls' deadlines before a planned SIGKILL
	sigkillGrace      = 700 * time.Millisecond // between the end of that wait and SIGKILL
)

// classNames are the request classes: idempotent, idempotent by key, and non-idempotent.
var classNames = []string{"safe", keyedClass, "unsafe"}

// settingsTemplate is the format of a router's settings. Times are in microseconds.
const settingsTemplate = `{"az":"z","balancers":%d,"host_types":["k"],
 "classes":[{"name":"safe","semantics":"read_like","target":%[2]d,"deadline":%[2]d,"worth":1.0},
  {"name":"keyed","semantics":"idempotency_key","dedup_scope":"cell","window":6000000,"target":%[2]d,"deadline":%[2]d,"worth":1.0},
  {"name":"unsafe","semantics":"non_idempotent","target":%[2]d,"deadline":%[2]d,"worth":1.0}],
 "family_info":{"when_absent":"load","may_order":true,"free_loads":%[3]d,"load_ratio":%[4]v,"load_span":%[5]d,
  "linger_idle":4000000,"kind_memory_mb":[8000],"order_timeout":4000000},
 "feedback":{"how":"piggyback","fields":["active"]},
 "limits":{"send_cap":5,"may_probe":%[6]v,"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after":1000000,
  "connect_timeout":250000,"idle_close":15000000,"streams_per_conn":32},
 "safety":{"drain_grace":%[7]d,"start_capacity":%[8]v,"warm_within":%[9]d,"overload_factor":%[10]d,"fall":%[11]d,
  "grace_to_answer":5000}}`

// settingsJSON returns the settings of the routers.
func (s Schedule) settingsJSON() string {
	return fmt.Sprintf(settingsTemplate, s.Routers, s.Settings.Deadline.Microseconds(), loadRateBurst, loadRateRatio,
		loadRateWindow.Microseconds(), s.Settings.HealthChecksAllowed, s.Settings.DrainGrace.Microseconds(), slowStartShare,
		slowStartDuration.Microseconds(), overloadMultiple, overloadWindow.Microseconds())
}

// routerConfig returns the content of a router's configuration file. The seed differs for each start of the router,
// which startCount numbers from 0.
func (s Schedule) routerConfig(p *platform, router, startCount int) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%x","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
 "channel":%q,"known":%s,"settings":%s}`, routerName(router), p.block.router(router), s.Seed+uint64(100*startCount+router),
		routerMemoryMB, routerDescriptors, p.discovery[router].currentAddress(), p.discovery[router].allEvents(), s.settingsJSON())
}

// invariantSettings returns the limits that a run is checked against. The capacity of a worker is its share of the
// work in the traffic, so that routers that send a worker in slow start its usual share violate rule 4.
func (s Schedule) invariantSettings(workers []string, slack time.Duration) invariants.Settings {
	settings := invariants.Settings{
		Classes: map[string]invariants.Class{
			"safe":     {Idempotency: invariants.Idempotent, RetryHarmless: true, MeanWork: workDuration},
			keyedClass: {Idempotency: invariants.IdempotentByKey, MeanWork: workDuration},
			"unsafe":   {Idempotency: invariants.NonIdempotent, MeanWork: workDuration},
		},
		ResponseGrace:     500 * time.Millisecond,
		LeaveGrace:        100 * time.Millisecond,
		DeadlineSlack:     150 * time.Millisecond,
		DrainGrace:        s.Settings.DrainGrace + 50*time.Millisecond,
		Capacity:          map[string]float64{},
		SlowStartShare:    slowStartShare,
		SlowStartDuration: slowStartDuration,
		OverloadMultiple:  overloadMultiple,
		OverloadWindow:    overloadWindow,
		RandomArrivals:    true,
		LoadRateWindow:    loadRateWindow,
		LoadRateBurst:     loadRateBurst + 1,
		LoadRateRatio:     loadRateRatio * 1.15,
		RecordingDelay:    slack,
	}
	for _, worker := range workers {
		settings.Capacity[worker] = s.CallRate * float64(s.Routers) * workDuration.Seconds() / float64(s.Workers)
	}
	return settings
}
