package simwire

import (
	"fmt"
	"strconv"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// settings reads the settings of a new instance. Keys that are not known are skipped.
func settings(f *fields) dispatch.Settings {
	s := dispatch.Settings{
		Zone:                    f.text("az", false),
		Routers:                 int(f.integer("balancers", false)),
		OverQuotaWeight:         f.number("over_share_worth", false),
		WorkersLoadOnMiss:       f.text("family_info.when_absent", false) == "load",
		LoadCommandsAllowed:     f.bool("family_info.may_order"),
		CacheStatusReported:     f.bool("family_info.tells_warm"),
		IdleResidency:           f.span("family_info.linger_idle"),
		LoadRateWindow:          f.span("family_info.load_span"),
		LoadRateBurst:           f.number("family_info.free_loads", false),
		LoadRateRatio:           f.number("family_info.load_ratio", false),
		CancelAllowed:           f.bool("limits.cancel"),
		HealthChecksAllowed:     f.bool("limits.may_probe"),
		HealthCheckCost:         f.number("deductions.probe", false),
		HedgingAllowed:          f.bool("limits.second_copies"),
		MaxAttempts:             1, // where nothing is said, nothing is tried again
		ResponseGrace:           f.span("safety.grace_to_answer"),
		DrainGrace:              f.span("safety.drain_grace"),
		SlowStartShare:          f.number("safety.start_capacity", false),
		SlowStartDuration:       f.span("safety.warm_within"),
		OverloadMultiple:        f.number("safety.overload_factor", false),
		OverloadWindow:          f.span("safety.fall"),
		EndpointsBySubscription: f.text("registry_mode", false) == "ask",
	}
	if f.pairs["limits.send_cap"] != "" {
		if s.MaxAttempts = int(f.integer("limits.send_cap", false)); s.MaxAttempts < 1 {
			f.set(fmt.Errorf("limits.send_cap=%d: at least one attempt is needed", s.MaxAttempts))
		}
	}
	if f.bool("limits.retry_after") {
		s.MaxRetryAfter = f.span("limits.max_retry_after")
	}
	switch f.text("feedback.how", false) {
	case "piggyback":
		s.LoadReports = dispatch.ReportsWithResponses
	case "pull":
		s.LoadReports = dispatch.ReportsFromHealthChecks
	}
	memory := list(f.text("family_info.kind_memory_mb", false))
	for i, name := range list(f.text("host_types", false)) {
		k := dispatch.WorkerKind{Name: name}
		if i < len(memory) {
			v, err := strconv.ParseFloat(memory[i], 64)
			if err != nil {
				f.set(fmt.Errorf("family_info.kind_memory_mb: %q is not a number", memory[i]))
			}
			k.MemoryMB = v
		}
		s.WorkerKinds = append(s.WorkerKinds, k)
	}
	for i := range count(f, "classes.count") {
		at := fmt.Sprintf("classes.%d.", i)
		c := dispatch.Class{
			Name:                f.text(at+"name", true),
			LatencyObjective:    f.span(at + "target"),
			Deadline:            f.span(at + "deadline"),
			PriorityWeight:      f.number(at+"worth", false),
			LateValueFraction:   f.number(at+"late_share", false),
			DeduplicationWindow: f.span(at + "window"),
			Idempotency: word(f, at+"semantics", map[string]dispatch.Idempotency{"read_like": dispatch.Idempotent,
				"idempotency_key": dispatch.IdempotentByKey, "non_idempotent": dispatch.NonIdempotent}),
		}
		if c.Idempotency == dispatch.IdempotentByKey {
			c.DeduplicationScope = word(f, at+"dedup_scope", map[string]dispatch.DeduplicationScope{"all": dispatch.ScopeAll,
				"zone": dispatch.ScopeZone, "cell": dispatch.ScopeCell})
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range count(f, "projects.count") {
		at := fmt.Sprintf("projects.%d.", i)
		s.Tenants = append(s.Tenants, dispatch.Tenant{Name: f.text(at+"name", true),
			QuotaPerSecond: f.number(at+"quota_per_s", false), Share: f.number(at+"share", false)})
	}
	return s
}

// span reads a duration that can't be negative.
func (f *fields) span(name string) time.Duration {
	d := f.duration(name, false)
	if d < 0 {
		f.set(fmt.Errorf("%s=%d is negative", name, d.Microseconds()))
	}
	return d
}

// count reads how many objects a list holds; no list of the settings holds more than the pairs there are.
func count(f *fields, name string) int {
	n := f.integer(name, false)
	if n < 0 || n > int64(len(f.pairs)) {
		f.set(fmt.Errorf("%s=%d does not fit the line", name, n))
		return 0
	}
	return int(n)
}
