package growth

import "fmt"

// Properties of the fleet in the settings of the routers. Of the fleet's routers, only Options.Nodes run.
const (
	usualRouters      = 300
	maxRouters        = 900
	usualMaxWorkers   = 960  // larger fleets have more than usualRouters routers
	memoryPerRouterMB = 2048 // total memory of the workers for each router of the fleet
	functionMemoryMB  = 512  // memory of each function, as stated in each call
)

// fleetRouters returns the number of routers of a fleet with the given number of workers.
func fleetRouters(workers int) int {
	return min(maxRouters, max(usualRouters, workers*usualRouters/usualMaxWorkers))
}

// workerMemoryMB returns the memory of each worker in a fleet with the given number of workers. The total memory of the
// workers is in proportion to the number of routers, but each worker has room for at least one function.
func workerMemoryMB(workers int) int {
	return max(fleetRouters(workers)*memoryPerRouterMB/workers, functionMemoryMB)
}

// settingsTemplate is the format of a router's settings. Its arguments are the number of routers in the fleet and the
// memory of a worker in MB. Times are in microseconds.
const settingsTemplate = `{"az":"z","balancers":%d,"host_types":["k"],
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

// classes are the names of the classes in settingsTemplate.
var classes = []string{"safe", "keyed", "unsafe"}

// nodeConfig returns the content of a router's configuration file. initialEndpoints is JSON.
func (o Options) nodeConfig(node, workers int, discoveryAddress, initialEndpoints string) string {
	return fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","seed":"%x",
 "limits":{"cores":%v,"memory_mb":%d,"sockets":%d},"channel":%q,"known":%s,"settings":%s}`,
		node, o.Seed+uint64(node), o.Cores, o.MemoryMB, o.Descriptors, discoveryAddress, initialEndpoints,
		fmt.Sprintf(settingsTemplate, fleetRouters(workers), workerMemoryMB(workers)))
}
