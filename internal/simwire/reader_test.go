package simwire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

const newInstanceLine = "NEW_INSTANCE router=3 init_seed=5 az=a classes.count=1 classes.0.name=q " +
	"classes.0.semantics=read_like classes.0.deadline=3000000 host_types=big,small " +
	"family_info.kind_memory_mb=16128.0,14016.0 limits.send_cap=5 limits.cancel=true new_key=x\n"

func TestReadBatch(t *testing.T) {
	in := "MARK clock=8412250 serial=12\n" + newInstanceLine +
		"CENSUS set_id=0 elements=1\nM server=s1 az=a family_type=big bay=2 health=on born=6100000\n" +
		"ROSTER_CHANGE router=3 seq_no=1 scope=stale_copy set_id=0\n" +
		"ACCEPT router=3 rid=7 bringup_ms=900 attrs=1 category=q expected=12000 at_once=2 time_left=240000 " +
		"size_mb=384 callee=h:a later=1\nUNHEARD_OF router=3\n" +
		"CLOSED_ATTEMPT router=3 rid=7 server=s1 ending=Ok time_taken=18500 terminal=1 shot=0 note=17 usage=active:7,z:1\n" +
		"FLUSH\n"
	r := NewReader(strings.NewReader(in))
	b, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	part := b.Parts[0]
	if b.Serial != "12" || part.Start == nil ||
		part.Start.Settings.WorkerKinds[1].MemoryMB != 14016 || !part.Start.Settings.CancelAllowed {
		t.Errorf("%+v", part.Start)
	}
	if update := part.Events[0].(dispatch.EndpointUpdate); !update.Snapshot || update.Endpoints[0].Cell != 2 ||
		update.Endpoints[0].StartedAt != 6100*time.Millisecond {
		t.Errorf("%+v", update)
	}
	if request := part.Events[1].(dispatch.Request); request.ExpectedWork != 12*time.Millisecond || request.ConcurrencyPerInstance != 2 ||
		request.LoadTime != 900*time.Millisecond {
		t.Errorf("%+v", request)
	}
	if ended := part.Events[2].(dispatch.AttemptEnded); ended.CacheStatus != dispatch.CacheHit || ended.FunctionInFlight != 2 ||
		ended.LoadReport.InFlight != 7 || !ended.Final {
		t.Errorf("%+v", ended)
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("error %v at the end of the input, want io.EOF", err)
	}
}

func TestReadErrorIncludesLineNumber(t *testing.T) {
	for name, in := range map[string]string{
		"no MARK":           "ACCEPT router=1\n",
		"cut short":         "MARK clock=1 serial=1\n",
		"no clock":          "MARK serial=1\n",
		"not a pair":        "MARK clock=1 serial=1\nDUE router\n",
		"not a number":      "MARK clock=1 serial=1\nDROPPED router=1 rid=x\nFLUSH\n",
		"missing field":     "MARK clock=1 serial=1\nDROPPED router=1\nFLUSH\n",
		"unknown ending":    "MARK clock=1 serial=1\nCLOSED_ATTEMPT router=1 rid=1 server=s ending=Odd\nFLUSH\n",
		"unknown list":      "MARK clock=1 serial=1\nROSTER_CHANGE router=1 scope=whole set_id=4\nFLUSH\n",
		"short census":      "MARK clock=1 serial=1\nCENSUS set_id=0 elements=2\nM server=s health=on\nFLUSH\n",
		"negative elements": "MARK clock=1 serial=1\nCENSUS set_id=0 elements=-1\nFLUSH\n",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := NewReader(strings.NewReader(in)).Next(); err == nil || !strings.Contains(err.Error(), "line ") {
				t.Errorf("error %v, want one with a line number", err)
			}
		})
	}
}

func TestWriteActions(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	w.Actions(3, []dispatch.Action{dispatch.StartAttempt{ID: 7, Worker: "s1"}, dispatch.RejectRequest{ID: 8, RetryAfter: time.Millisecond},
		dispatch.LoadFunction{Worker: "s1", Function: "f", Copies: 1}, dispatch.SetTimer{After: time.Second}})
	if err := w.End("12"); err != nil {
		t.Fatal(err)
	}
	want := "SUBMIT_TO router=3 rid=7 server=s1\nPUSH_BACK router=3 rid=8 come_back=1000\n" +
		"HOLD_THERE router=3 callee=f count=1 server=s1\nREMIND router=3 delay=1000000 key_back=wake\nEND serial=12\n"
	if out.String() != want {
		t.Errorf("got %q", out.String())
	}
}
