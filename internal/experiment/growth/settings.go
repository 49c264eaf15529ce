package growth

import "fmt"

// The fleet as the settings of the routers describe it. Only Options.Nodes of its routers run.
const (
	usualRouters      = 300
	maxRouters        = 900
	usualMaxWorkers   = 960  // fleets beyond this size have more routers
	memoryPerRouterMB = 2048 // of all workers together, for each router of the fleet
	functionMemoryMB  = 512  // that each call states; a worker has room for at least one function
)

// fleetRouters returns the number of routers of a fleet with the given number of workers.
func fleetRouters(workers int) int {
	return min(maxRouters, max(usualRouters, workers*usualRouters/usualMaxWorkers))
}

// workerMemoryMB returns the memory of a worker: that of all workers together is in proportion to the routers.
func workerMemoryMB(workers int) int {
	return max(fleetRouters(workers)*memoryPerRouterMB/workers, functionMemoryMB)
}

// settingsForm is the settings of a router; the routers of the fleet and the memory of a worker are to be filled in.
// Times are in microseconds.
const settingsForm = `{"az":"z","balancers":%d,"host_types":["k"],
 "classes":[{"name":"safe","semantics":"read_like","target":1000000,"deadline":2000000,"worth":1.0},
  {"name":"keyed","semantics":"idempotency_key","dedup_scope":"cell","window":6000000,"target":1000000,"deadline":2000000,
   "worth":1.0},
  {"name":"unsafe","semantics":"non_idempotent","target":1000000,"deadline":2000000,"worth":1.0}],
 "family_info":{"when_absent":"load","may_order":true,"free_loads":4,"load_ratio":0.1,"load_span":5000000,"linger_idle":4000000,
  "kind_memory_mb":[%d],"order_timeout":4000000},
 "feedback":{"how":"piggyback","fields":["active"]},
 "limits":{"send_cap":5,"may_probe":true,"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after":1000000,
  "connect_timeout":250000,"idle_close":15000000,"streams_per_conn":32},
 "safety":{"drain_grace":500000,"start_capacity":0.2,"warm_within":16000000,"overload_factor":3,"fall":1500000,
  "grace_to_answer":5000}}`

// classes are the names of the classes in settingsForm.
var classes = []string{"safe", "keyed", "unsafe"}

// nodeConfig returns the configuration file of a router. initialEndpoints is JSON.
func (o Options) nodeConfig(node, workers int, discoveryAddress, initialEndpoints string) string {
	return fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","seed":"%x",
 "limits":{"cores":%v,"memory_mb":%d,"sockets":%d},"channel":%q,"known":%s,"settings":%s}`,
		node, o.Seed+uint64(node), o.Cores, o.MemoryMB, o.Descriptors, discoveryAddress, initialEndpoints,
		fmt.Sprintf(settingsForm, fleetRouters(workers), workerMemoryMB(workers)))
}
