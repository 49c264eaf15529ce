package main

import "fmt"

// settings returns the settings of ikeja-brew for a number of routers.
func settings(routers int) string { return fmt.Sprintf(ikejaSettings, routers) }

// ikejaSettings are the settings of the deployment ikeja-brew, with the names and units of the page of the wire.
const ikejaSettings = `{
 "az": "hall-c", "azs": ["hall-a", "hall-b", "hall-c"], "balancers": %d,
 "classes": [
  {"name": "quote", "semantics": "read_like", "dedup_scope": "all", "deadline": 3000000, "target": 1000000,
   "window": 5000000, "late_share": 0.2, "stream": false, "worth": 2.0},
  {"name": "renew", "semantics": "idempotency_key", "dedup_scope": "cell", "deadline": 3000000, "target": 800000,
   "window": 6000000, "late_share": 0.1, "stream": false, "worth": 5.0},
  {"name": "points", "semantics": "non_idempotent", "dedup_scope": "all", "deadline": 2500000, "target": 800000,
   "window": 5000000, "late_share": 0.1, "stream": false, "worth": 3.0}],
 "client_habits": {"marks_retry": true},
 "deductions": {"connection": 0.0, "cross_zone": 0.01, "handshake": 0.0, "late_fail": 0.03, "moves": 0.0, "origin": 0.03,
  "peer": 0.0, "probe": 0.01, "registry_mode": 0.0, "waste": 0.05},
 "family": "warm",
 "family_info": {"free_loads": 4.0, "idle_price": 0.1, "kind_memory_mb": [16128.0, 14016.0], "linger_idle": 8400000,
  "load_ratio": 0.1, "load_span": 5000000, "may_order": true, "order_timeout": 10000000, "says_company": true,
  "tells_warm": false, "when_absent": "load"},
 "feedback": {"fields": ["active"], "how": "piggyback"},
 "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
 "host_types": ["big-box", "small-box"],
 "limits": {"cancel": true, "connect_timeout": 250000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
  "idle_close": 15000000, "max_retry_after": 1000000, "may_probe": true, "open_cap": 20000, "peers": false,
  "retry_after": true, "second_copies": true, "send_cap": 5, "streams_per_conn": 32},
 "me": 0, "over_share_worth": 0.1, "projects": [], "registry_mode": "push",
 "safety": {"ask_within": 10000000, "drain_grace": 500000, "fall": 1500000, "grace_to_answer": 16000,
  "overload_factor": 3.0, "start_capacity": 0.18, "warm_within": 16000000},
 "step": 4000, "tier": 0, "tiers": ["plugin-workers"], "weight_source": "silent", "worth_by": "work"}`
