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
		Zone:           f.text("az", false),
		Routers:        int(f.integer("balancers", false)),
		OverShareWorth: f.number("over_share_worth", false),
		LoadsOnMiss:    f.text("family_info.when_absent", false) == "load",
		MayOrder:       f.bool("family_info.may_order"),
		TellsWarm:      f.bool("family_info.tells_warm"),
		IdleKeep:       f.span("family_info.linger_idle"),
		LoadSpan:       f.span("family_info.load_span"),
		LoadFree:       f.number("family_info.free_loads", false),
		LoadRatio:      f.number("family_info.load_ratio", false),
		MayCancel:      f.bool("limits.cancel"),
		MayProbe:       f.bool("limits.may_probe"),
		ProbePrice:     f.number("deductions.probe", false),
		SecondCopies:   f.bool("limits.second_copies"),
		MaxAttempts:    1, // where nothing is said, nothing is tried again
		AnswerGrace:    f.span("safety.grace_to_answer"),
		DrainGrace:     f.span("safety.drain_grace"),
		ColdShare:      f.number("safety.start_capacity", false),
		ColdFor:        f.span("safety.warm_within"),
		FallMultiple:   f.number("safety.overload_factor", false),
		FallSpan:       f.span("safety.fall"),
		MustAsk:        f.text("registry_mode", false) == "ask",
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
		s.Reports = dispatch.FromAnswers
	case "pull":
		s.Reports = dispatch.FromProbes
	}
	memory := list(f.text("family_info.kind_memory_mb", false))
	for i, name := range list(f.text("host_types", false)) {
		k := dispatch.Kind{Name: name}
		if i < len(memory) {
			v, err := strconv.ParseFloat(memory[i], 64)
			if err != nil {
				f.set(fmt.Errorf("family_info.kind_memory_mb: %q is not a number", memory[i]))
			}
			k.MemoryMB = v
		}
		s.Kinds = append(s.Kinds, k)
	}
	for i := range count(f, "classes.count") {
		at := fmt.Sprintf("classes.%d.", i)
		c := dispatch.Class{
			Name:      f.text(at+"name", true),
			Aim:       f.span(at + "target"),
			Deadline:  f.span(at + "deadline"),
			Worth:     f.number(at+"worth", false),
			LateShare: f.number(at+"late_share", false),
			Window:    f.span(at + "window"),
			Effect: word(f, at+"semantics", map[string]dispatch.Effect{"read_like": dispatch.Safe,
				"idempotency_key": dispatch.Keyed, "non_idempotent": dispatch.Unsafe}),
		}
		if c.Effect == dispatch.Keyed {
			c.Scope = word(f, at+"dedup_scope", map[string]dispatch.Scope{"all": dispatch.ScopeAll,
				"zone": dispatch.ScopeZone, "cell": dispatch.ScopeCell})
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range count(f, "projects.count") {
		at := fmt.Sprintf("projects.%d.", i)
		s.Tenants = append(s.Tenants, dispatch.Tenant{Name: f.text(at+"name", true),
			Quota: f.number(at+"quota_per_s", false), Share: f.number(at+"share", false)})
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
