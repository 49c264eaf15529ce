package discovery

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// TestApplyIsAtomic checks that events already applied are skipped, and that no event of a response with a gap is
// applied.
func TestApplyIsAtomic(t *testing.T) {
	log, list := &eventLog{}, endpointList{}
	apply := func(raw string) (changed bool, err error) {
		update, err := log.Apply(parseResponse(t, raw), constantRouterTime)
		list.apply(update)
		return update != nil, err
	}
	first := `{"cursor":1,` + fakeplatform.EndpointsEvent(true, "a 1.1.1.1:1 active") + `}`
	second := `{"cursor":2,` + fakeplatform.EndpointsEvent(false, "b 1.1.1.2:1 active") + `}`
	if changed, err := apply(`{"cursor":1,"cmds":[` + first + `]}`); !changed || err != nil {
		t.Fatal(changed, err)
	}
	if changed, err := apply(`{"cursor":1,"cmds":[` + first + `]}`); changed || err != nil {
		t.Error("event applied twice", changed, err)
	}
	fourth := `{"cursor":4,` + fakeplatform.EndpointsEvent(false, "a 1.1.1.1:1 left") + `}`
	if _, err := apply(`{"cursor":4,"cmds":[` + second + `,` + fourth + `]}`); !errors.Is(err, ErrEventGap) {
		t.Error("response with a gap:", err)
	}
	if got := list.String(); got != "a@1.1.1.1:1" || log.revision != 1 {
		t.Errorf("after a gap: %s, revision %d", got, log.revision)
	}
	if changed, err := apply(`{"cursor":2,"cmds":[` + first + `,` + second + `]}`); !changed || err != nil {
		t.Error(changed, err)
	}
	if got := list.String(); got != "a@1.1.1.1:1, b@1.1.1.2:1" {
		t.Error(got)
	}
}

// TestSnapshotReplacesList checks that a snapshot is applied at the next revision and after a gap, and that endpoints
// missing from it are removed. A snapshot at a revision at which a different event was applied must change nothing and
// return ErrRevisionRegressed. A draining endpoint may become active again.
func TestSnapshotReplacesList(t *testing.T) {
	const (
		before = "a@1.1.1.1:1 drains, b@1.1.1.2:1, c@1.1.1.3:1"
		after  = "a@1.1.1.1:1, c@1.1.1.3:1 drains"
	)
	for name, c := range map[string]struct {
		revision int
		want     string
		err      error
	}{
		"the next revision": {4, after, nil},
		"across a gap":      {9, after, nil},
		"an old revision":   {3, before, ErrRevisionRegressed},
	} {
		t.Run(name, func(t *testing.T) {
			log, list := &eventLog{}, endpointList{}
			apply := func(raw string, wantErr error) {
				update, err := log.Apply(parseResponse(t, raw), constantRouterTime)
				if !errors.Is(err, wantErr) {
					t.Fatal(err)
				}
				list.apply(update)
			}
			for i, event := range []string{fakeplatform.EndpointsEvent(true, "a 1.1.1.1:1 active", "b 1.1.1.2:1 active"),
				fakeplatform.EndpointsEvent(false, "a 1.1.1.1:1 leaving"), fakeplatform.EndpointsEvent(false, "c 1.1.1.3:1 active")} {
				response := fmt.Sprintf(`{"cursor":%d,"cmds":[{"cursor":%d,%s}]}`, i+1, i+1, event)
				apply(response, nil)
			}
			if got := list.String(); got != before {
				t.Fatal(got)
			}
			snapshot := fakeplatform.EndpointsEvent(true, "a 1.1.1.1:1 active", "c 1.1.1.3:1 leaving")
			response := fmt.Sprintf(`{"cursor":%d,"cmds":[{"cursor":%d,%s}]}`, c.revision, c.revision, snapshot)
			apply(response, c.err)
			if got := list.String(); got != c.want || log.revision != int64(c.revision) {
				t.Errorf("%s, revision %d; want %s", got, log.revision, c.want)
			}
		})
	}
}

// TestEventsOfOneResponseMerge checks that the events of one response are merged into one update, in which each
// endpoint is as in the last event that contains it.
func TestEventsOfOneResponseMerge(t *testing.T) {
	removed := fakeplatform.EndpointsEvent(false, "a 1.1.1.1:1 left", "b 1.1.1.2:1 left")
	addedAgain := fakeplatform.EndpointsEvent(false, "a 1.1.1.9:1 active")
	snapshot := fakeplatform.EndpointsEvent(true, "c 1.1.1.3:1 active")
	for name, c := range map[string]struct {
		events []string
		want   string
	}{
		"removed and added again": {[]string{removed, addedAgain}, "a@1.1.1.9:1"},
		"added and removed again": {[]string{addedAgain, removed}, ""},
		"before a snapshot":       {[]string{addedAgain, snapshot}, "c@1.1.1.3:1"},
		"after a snapshot":        {[]string{removed, snapshot, addedAgain}, "a@1.1.1.9:1, c@1.1.1.3:1"},
	} {
		t.Run(name, func(t *testing.T) {
			list := endpointList{"a": {}, "b": {}}
			var numbered []string
			for i, event := range c.events {
				numbered = append(numbered, fmt.Sprintf(`{"cursor":%d,%s}`, i+1, event))
			}
			response := fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(c.events), strings.Join(numbered, ","))
			update, err := (&eventLog{}).Apply(parseResponse(t, response), constantRouterTime)
			if err != nil {
				t.Fatal(err)
			}
			if list.apply(update); list.String() != c.want {
				t.Errorf("%s, want %s", list, c.want)
			}
		})
	}
}
