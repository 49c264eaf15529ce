package simwire

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestParseSettingsMatchesLineProtocol checks that nested JSON and the pairs of the line protocol give the same
// settings.
func TestParseSettingsMatchesLineProtocol(t *testing.T) {
	line := "NEW_INSTANCE router=3 init_seed=9 profile_data.az=hall-a profile_data.balancers=3 " +
		"profile_data.family_info.when_absent=load profile_data.family_info.may_order=true " +
		"profile_data.family_info.kind_memory_mb=14016.5,676 profile_data.host_types=big,small " +
		"profile_data.family_info.linger_idle=4200000 profile_data.family_info.load_ratio=0.1 " +
		"profile_data.limits.retry_after=true profile_data.limits.max_retry_after=1000000 profile_data.limits.send_cap=5 " +
		"profile_data.feedback.how=piggyback profile_data.safety.fall=1500000 profile_data.classes.count=2 " +
		"profile_data.classes.0.name=renew profile_data.classes.0.target=320000 profile_data.classes.0.semantics=idempotency_key " +
		"profile_data.classes.0.dedup_scope=cell profile_data.classes.1.name=points profile_data.classes.1.semantics=non_idempotent " +
		"profile_data.projects.count=1 profile_data.projects.0.name=a profile_data.projects.0.quota_per_s=2.5"
	b, err := NewReader(strings.NewReader("MARK clock=1 serial=1\n" + line + "\nFLUSH\n")).Next()
	if err != nil {
		t.Fatal(err)
	}
	got, limits, err := ParseSettings([]byte(`{"az":"hall-a","azs":["hall-a","hall-b"],"balancers":3,
		"family_info":{"when_absent":"load","may_order":true,"kind_memory_mb":[14016.5,676],"linger_idle":4200000,
			"load_ratio":0.1,"order_timeout":4000000,"report_x1":"loads under way or waiting"},
		"host_types":["big","small"],
		"limits":{"retry_after":true,"max_retry_after":1000000,"send_cap":5,"connect_timeout":250000,"idle_close":15000000,"streams_per_conn":32},
		"feedback":{"how":"piggyback","fields":["active"]},"safety":{"fall":1500000},
		"classes":[{"name":"renew","target":320000,"semantics":"idempotency_key","dedup_scope":"cell","stream":false},
			{"name":"points","semantics":"non_idempotent"}],
		"projects":[{"name":"a","quota_per_s":2.5}],"unknown":null}`))
	if err != nil {
		t.Fatal(err)
	}
	if want := b.Parts[0].Start.Settings; !reflect.DeepEqual(got, want) {
		t.Errorf("JSON %+v\nline %+v", got, want)
	}
	if want := (ConnectionLimits{250 * time.Millisecond, 15 * time.Second, 4 * time.Second, 32}); limits != want {
		t.Errorf("limits %+v", limits)
	}
}

func TestParseSettingsErrorNamesInvalidSetting(t *testing.T) {
	for in, want := range map[string]string{
		`{`:                                    "settings",
		`[]`:                                   "settings",
		`{} {}`:                                "more than one",
		`{"balancers":"x"}`:                    "balancers",
		`{"classes":[{"name":"a"}]}`:           "classes.0.semantics",
		`{"classes":[{"semantics":"odd"}]}`:    "classes.0.name",
		`{"limits":{"connect_timeout":1e300}}`: "limits.connect_timeout",
		`{"limits":{"connect_timeout":-1}}`:    "limits.connect_timeout",
		`{"limits":{"send_cap":0}}`:            "limits.send_cap",
		`{"limits":{"send_cap":-3}}`:           "limits.send_cap",
		`{"safety":{"warm_within":-5}}`:        "safety.warm_within",
		`{"family_info":{"load_span":-5}}`:     "family_info.load_span",
		`{"classes":[]}`:                       "classes",
		`{"classes":[{"name":"a","semantics":"read_like","deadline":-1}]}`:    "classes.0.deadline",
		`{"a":` + strings.Repeat(`{"a":`, 40) + "1" + strings.Repeat("}", 41): "too deep",
	} {
		if _, _, err := ParseSettings([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40s: error %v, want one that contains %s", in, err, want)
		}
	}
}
