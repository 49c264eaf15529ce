package simwire

import (
	"fmt"
	"strconv"

	"github.com/topazfront/topazfront/dispatch"
)

var idempotencyByName = map[string]dispatch.Idempotency{
	"read_like":       dispatch.Idempotent,
	"idempotency_key": dispatch.IdempotentByKey,
	"non_idempotent":  dispatch.NonIdempotent,
}

var scopeByName = map[string]dispatch.DeduplicationScope{
	"all":  dispatch.ScopeAll,
	"zone": dispatch.ScopeZone,
	"cell": dispatch.ScopeCell,
}

// readSettings reads the settings of a new instance. It ignores unknown names.
func readSettings(f *fields) dispatch.Settings {
	s := dispatch.Settings{
		Zone:                    f.text("az", false),
		Routers:                 int(f.integer("balancers", false)),
		OverQuotaWeight:         f.number("over_share_worth"),
		WorkersLoadOnMiss:       f.text("family_info.when_absent", false) == "load",
		LoadCommandsAllowed:     f.bool("family_info.may_order"),
		CacheStatusReported:     f.bool("family_info.tells_warm"),
		IdleResidency:           f.nonNegativeDuration("family_info.linger_idle"),
		LoadRateWindow:          f.nonNegativeDuration("family_info.load_span"),
		LoadRateBurst:           f.number("family_info.free_loads"),
		LoadRateRatio:           f.number("family_info.load_ratio"),
		CancelAllowed:           f.bool("limits.cancel"),
		HealthChecksAllowed:     f.bool("limits.may_probe"),
		HealthCheckCost:         f.number("deductions.probe"),
		HedgingAllowed:          f.bool("limits.second_copies"),
		ResponseGrace:           f.nonNegativeDuration("safety.grace_to_answer"),
		DrainGrace:              f.nonNegativeDuration("safety.drain_grace"),
		SlowStartShare:          f.number("safety.start_capacity"),
		SlowStartDuration:       f.nonNegativeDuration("safety.warm_within"),
		OverloadMultiple:        f.number("safety.overload_factor"),
		OverloadWindow:          f.nonNegativeDuration("safety.fall"),
		EndpointsBySubscription: f.text("registry_mode", false) == "ask",
	}
	s.MaxAttempts = readMaxAttempts(f)
	if f.bool("limits.retry_after") {
		s.MaxRetryAfter = f.nonNegativeDuration("limits.max_retry_after")
	}
	s.LoadReports = readReportSource(f)
	s.WorkerKinds = readWorkerKinds(f)
	s.Classes = readClasses(f)
	s.Tenants = readTenants(f)
	return s
}

// readMaxAttempts reads the limit of attempts for a request. The default is one attempt, so no retries.
func readMaxAttempts(f *fields) int {
	if f.pairs["limits.send_cap"] == "" {
		return 1
	}
	n := int(f.integer("limits.send_cap", false))
	if n < 1 {
		f.fail(fmt.Errorf("limits.send_cap=%d: at least one attempt is needed", n))
	}
	return n
}

func readReportSource(f *fields) dispatch.ReportSource {
	switch f.text("feedback.how", false) {
	case "piggyback":
		return dispatch.ReportsWithResponses
	case "pull":
		return dispatch.ReportsFromHealthChecks
	}
	return dispatch.ReportsNone
}

func readWorkerKinds(f *fields) (kinds []dispatch.WorkerKind) {
	memory := f.list("family_info.kind_memory_mb")
	for i, name := range f.list("host_types") {
		k := dispatch.WorkerKind{Name: name}
		if i < len(memory) {
			v, err := strconv.ParseFloat(memory[i], 64)
			if err != nil {
				f.fail(fmt.Errorf("family_info.kind_memory_mb: %q is not a number", memory[i]))
			}
			k.MemoryMB = v
		}
		kinds = append(kinds, k)
	}
	return kinds
}

func readClasses(f *fields) (classes []dispatch.Class) {
	for i := range f.length("classes.count") {
		prefix := fmt.Sprintf("classes.%d.", i)
		c := dispatch.Class{
			Name:                f.text(prefix+"name", true),
			LatencyObjective:    f.nonNegativeDuration(prefix + "target"),
			Deadline:            f.nonNegativeDuration(prefix + "deadline"),
			PriorityWeight:      f.number(prefix + "worth"),
			LateValueFraction:   f.number(prefix + "late_share"),
			DeduplicationWindow: f.nonNegativeDuration(prefix + "window"),
			Idempotency:         enum(f, prefix+"semantics", idempotencyByName),
		}
		if c.Idempotency == dispatch.IdempotentByKey {
			c.DeduplicationScope = enum(f, prefix+"dedup_scope", scopeByName)
		}
		classes = append(classes, c)
	}
	return classes
}

func readTenants(f *fields) (tenants []dispatch.Tenant) {
	for i := range f.length("projects.count") {
		prefix := fmt.Sprintf("projects.%d.", i)
		tenants = append(tenants, dispatch.Tenant{
			Name:           f.text(prefix+"name", true),
			QuotaPerSecond: f.number(prefix + "quota_per_s"),
			Share:          f.number(prefix + "share"),
		})
	}
	return tenants
}
