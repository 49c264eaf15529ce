package main

// ikejaSettings are the settings of ikeja-brew, in the form of the simulator's first message: times in microseconds.
// Where the site gives a range, one value of it stands here.
const ikejaSettings = `{"az":"hall-a","azs":["hall-a","hall-b","hall-c"],"balancers":3,"me":0,"family":"warm",
"host_types":["big-box","small-box"],"step":4000,"registry_mode":"push","weight_source":"silent","worth_by":"work",
"classes":[
 {"name":"quote","target":1000000,"deadline":3000000,"semantics":"read_like","dedup_scope":"all","window":5000000,"late_share":0.2,"stream":false,"worth":2.0},
 {"name":"renew","target":800000,"deadline":3000000,"semantics":"idempotency_key","dedup_scope":"cell","window":6000000,"late_share":0.1,"stream":false,"worth":5.0},
 {"name":"points","target":800000,"deadline":2500000,"semantics":"non_idempotent","dedup_scope":"all","window":5000000,"late_share":0.1,"stream":false,"worth":3.0}],
"client_habits":{"marks_retry":true},
"deductions":{"connection":0.0,"cross_zone":0.01,"handshake":0.0,"late_fail":0.03,"moves":0.0,"origin":0.03,"peer":0.0,"probe":0.01,"registry_mode":0.0,"waste":0.05},
"family_info":{"free_loads":4.0,"idle_price":0.1,"kind_memory_mb":[16128.0,14016.0],"linger_idle":8400000,"load_ratio":0.1,
 "load_span":5000000,"may_order":true,"order_timeout":10000000,"says_company":true,"tells_warm":false,"when_absent":"load"},
"feedback":{"how":"piggyback","fields":["active"]},
"goal":{"whole":0.5,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.3},
"limits":{"cancel":true,"connect_timeout":250000,"cpu_us_per_request":0,"idle_close":15000000,"max_retry_after":1000000,"may_probe":true,
 "open_cap":4096,"peers":false,"retry_after":true,"second_copies":true,"send_cap":5,"streams_per_conn":32},
"safety":{"ask_within":0,"drain_grace":500000,"fall":1500000,"grace_to_answer":50000,"overload_factor":3.0,"start_capacity":0.18,"warm_within":16000000},
"tier":0,"tiers":["plugin-workers"],"projects":[]}`
