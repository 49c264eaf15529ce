package catalog

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/topazfront/topazfront/internal/registry"
)

var currentAlias = registry.AliasRef{Plan: "p", Alias: "current"}

func versionRef(version string) registry.VersionRef {
	return registry.VersionRef{Plugin: "q", Version: version}
}

func content(digestByte byte) registry.Content {
	return registry.Content{Digest: registry.Digest{digestByte}, Size: 1}
}

// listingAt returns a listing with versions 1 and 2 and with the alias pointing at target.
func listingAt(revision uint64, target string) Listing {
	return Listing{
		Revision: revision,
		Versions: map[registry.VersionRef]registry.Content{versionRef("1"): content(1), versionRef("2"): content(2)},
		Aliases:  map[registry.AliasRef]registry.VersionRef{currentAlias: versionRef(target)},
	}
}

// moveRevision returns a revision that moves the alias.
func moveRevision(number uint64, target string) registry.Revision {
	move := registry.MoveAlias{AliasRef: currentAlias, Target: versionRef(target)}
	return registry.Revision{Number: number, Changes: []registry.Change{move}}
}

// lastAction returns the last action of a type, and the number of actions of that type.
func lastAction[T Action](actions []Action) (last T, count int) {
	for _, action := range actions {
		if typed, ok := action.(T); ok {
			last = typed
			count++
		}
	}
	return last, count
}

// warningText returns the message of the last warning, or an empty string.
func warningText(actions []Action) string {
	warning, _ := lastAction[LogWarning](actions)
	return warning.Message
}

// watchingCore returns a core that has received a listing at revision 5 and has requested a Watch.
func watchingCore(t *testing.T) *Core {
	t.Helper()
	c := New(DefaultConfig)
	if _, count := lastAction[List](c.Step(0, nil)); count != 1 {
		t.Fatal("no List was requested")
	}
	watch, count := lastAction[Watch](c.Step(0, []Event{ListReceived{listingAt(5, "1")}}))
	if count != 1 || watch.After != 5 {
		t.Fatalf("watch after %d", watch.After)
	}
	return c
}

// TestMissingAndStaleCatalog expects ErrNotSynced before the first listing or snapshot, and the last known version,
// marked as stale, without recent contact with the registry.
func TestMissingAndStaleCatalog(t *testing.T) {
	c := New(DefaultConfig)
	if _, err := c.ResolveAlias(0, currentAlias); !errors.Is(err, ErrNotSynced) {
		t.Error(err)
	}
	if _, err := c.ResolveIdempotent(0, "k", time.Second, currentAlias, nil); !errors.Is(err, ErrNotSynced) {
		t.Error(err)
	}
	actions := c.Step(0, []Event{SnapshotLoaded{listingAt(5, "1")}})
	if watch, count := lastAction[Watch](actions); count != 1 || watch.After != 5 {
		t.Errorf("after a snapshot: %v", actions)
	}
	if pin, err := c.ResolveAlias(0, currentAlias); err != nil || !pin.Stale {
		t.Errorf("%+v, %v", pin, err)
	}
	c.Step(time.Second, []Event{RevisionsReceived{}})
	if pin, err := c.ResolveAlias(time.Second, currentAlias); err != nil || pin.Stale {
		t.Errorf("%+v, %v", pin, err)
	}
	if pin, err := c.ResolveAlias(20*time.Second, currentAlias); err != nil || !pin.Stale {
		t.Errorf("%+v, %v", pin, err)
	}
	unknown := registry.AliasRef{Plan: "x", Alias: "current"}
	if _, err := c.ResolveAlias(0, unknown); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
}

// TestWatchFaults tests each fault of a watch that the core must handle.
func TestWatchFaults(t *testing.T) {
	t.Run("cut", testWatchFails)
	t.Run("delivered twice", testWatchDeliveredTwice)
	t.Run("gap", testWatchGap)
	t.Run("compacted", testWatchCompacted)
	t.Run("running backwards", testRevisionDecreases)
	t.Run("contradictory", testContradictoryListing)
}

func testWatchFails(t *testing.T) {
	c := watchingCore(t)
	var requestedAt []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if _, count := lastAction[Watch](c.Step(now, []Event{RequestFailed{errors.New("cut")}})); count > 0 {
			requestedAt = append(requestedAt, now)
		}
	}
	n := len(requestedAt)
	if n < 6 || n > 16 || requestedAt[n-1]-requestedAt[n-2] < 9*time.Second {
		t.Errorf("watch requested at %v", requestedAt)
	}
}

func testWatchDeliveredTwice(t *testing.T) {
	c := watchingCore(t)
	actions := c.Step(1, []Event{
		RevisionsReceived{[]registry.Revision{moveRevision(6, "2")}},
		RevisionsReceived{[]registry.Revision{moveRevision(6, "2"), moveRevision(7, "1")}},
	})
	pin, _ := c.ResolveAlias(1, currentAlias)
	if pin.Revision != 7 || pin.VersionRef != versionRef("1") || warningText(actions) != "" {
		t.Errorf("%+v, %v", pin, actions)
	}
}

func testWatchGap(t *testing.T) {
	c := watchingCore(t)
	actions := c.Step(1, []Event{RevisionsReceived{[]registry.Revision{moveRevision(7, "2")}}})
	_, count := lastAction[List](actions)
	if count != 1 || !strings.Contains(warningText(actions), "revision 7 after 5") {
		t.Errorf("%v", actions)
	}
	if pin, _ := c.ResolveAlias(1, currentAlias); pin.VersionRef != versionRef("1") {
		t.Errorf("%+v", pin)
	}
}

func testWatchCompacted(t *testing.T) {
	c := watchingCore(t)
	actions := c.Step(1, []Event{RequestFailed{fmt.Errorf("watch: %w", registry.ErrCompacted)}})
	if _, count := lastAction[List](actions); count != 1 {
		t.Fatalf("%v", actions)
	}
	actions = c.Step(2, []Event{ListReceived{listingAt(400, "2")}})
	if watch, _ := lastAction[Watch](actions); watch.After != 400 || warningText(actions) != "" {
		t.Errorf("%v", actions)
	}
}

func testRevisionDecreases(t *testing.T) {
	c := watchingCore(t)
	actions := c.Step(1, []Event{RequestFailed{registry.ErrFutureRevision}})
	if _, count := lastAction[List](actions); count != 1 || !strings.Contains(warningText(actions), "backup") {
		t.Fatalf("%v", actions)
	}
	actions = c.Step(2, []Event{ListReceived{listingAt(2, "2")}})
	pin, _ := c.ResolveAlias(2, currentAlias)
	if pin.Revision != 2 || pin.VersionRef != versionRef("2") || !strings.Contains(warningText(actions), "from 5 to 2") {
		t.Errorf("%+v, %v", pin, actions)
	}
}

func testContradictoryListing(t *testing.T) {
	c := watchingCore(t)
	otherContent := listingAt(9, "1")
	otherContent.Versions[versionRef("1")] = content(7)
	c.Step(1, []Event{RequestFailed{registry.ErrCompacted}})
	actions := c.Step(2, []Event{ListReceived{otherContent}})
	if !strings.Contains(warningText(actions), "q:1 was") {
		t.Errorf("%v", actions)
	}
	danglingAlias := listingAt(10, "1")
	delete(danglingAlias.Versions, versionRef("1"))
	c.Step(3, []Event{RequestFailed{registry.ErrCompacted}})
	actions = c.Step(4, []Event{ListReceived{danglingAlias}})
	if !strings.Contains(warningText(actions), "rejected") {
		t.Errorf("an alias of an unknown version: %v", actions)
	}
	if pin, err := c.ResolveAlias(4, currentAlias); err != nil || pin.Revision != 9 {
		t.Errorf("%+v, %v", pin, err)
	}
}

// TestCatalogConverges checks the property that the catalog reaches the registry's state once its requests succeed
// again, after revisions were delayed, delivered twice, lost or compacted.
func TestCatalogConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newWatchHarness(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				target := versionRef(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "to"))
				h.commit(registry.MoveAlias{AliasRef: currentAlias, Target: target})
			case 2:
				h.respond()
			case 3:
				h.failRequest()
			default:
				h.step()
			}
		}
		for range 12 {
			h.now += 11 * time.Second
			h.step()
			h.respond()
		}
		want, _ := h.registry.Alias(currentAlias)
		got, err := h.core.ResolveAlias(h.now, currentAlias)
		if err != nil || got.VersionRef != want || got.Revision != h.registry.Revision() || got.Stale {
			t.Fatalf("%+v, %v; the registry is at %d with %s", got, err, h.registry.Revision(), want)
		}
	})
}

// watchHarness connects a core to the registry that it follows.
type watchHarness struct {
	t        *rapid.T
	registry *registry.State
	core     *Core
	now      time.Duration
	request  Action // the List or Watch in progress, or nil
}

// newWatchHarness returns a harness whose registry has versions 1 and 2 and the alias pointing at 1.
func newWatchHarness(t *rapid.T) *watchHarness {
	h := &watchHarness{t: t, registry: registry.NewState(4), core: New(DefaultConfig)}
	h.commit(
		registry.PushVersion{VersionRef: versionRef("1"), Content: content(1)},
		registry.PushVersion{VersionRef: versionRef("2"), Content: content(2)},
		registry.MoveAlias{AliasRef: currentAlias, Target: versionRef("1")},
	)
	return h
}

// commit applies a batch to the registry.
func (h *watchHarness) commit(batch ...registry.Change) {
	h.t.Helper()
	revision, err := h.registry.Prepare(batch)
	if err != nil || revision == nil {
		return
	}
	if err := h.registry.Apply(*revision); err != nil {
		h.t.Fatal(err)
	}
}

// step passes events to the core and stores its request.
func (h *watchHarness) step(events ...Event) {
	for _, action := range h.core.Step(h.now, events) {
		switch action.(type) {
		case List, Watch:
			h.request = action
		}
	}
}

// respond responds to the request in progress. A Watch stays in progress after a successful response.
func (h *watchHarness) respond() {
	switch request := h.request.(type) {
	case List:
		h.request = nil
		h.step(ListReceived{h.listing()})
	case Watch:
		revisions, err := h.registry.RevisionsAfter(request.After)
		if err != nil {
			h.request = nil
			h.step(RequestFailed{err})
			return
		}
		h.step(RevisionsReceived{revisions})
	}
}

// failRequest makes the request in progress fail.
func (h *watchHarness) failRequest() {
	if h.request == nil {
		return
	}
	h.request = nil
	h.step(RequestFailed{errors.New("cut")})
}

// listing returns the complete content of the registry.
func (h *watchHarness) listing() Listing {
	listing := Listing{
		Revision: h.registry.Revision(),
		Versions: map[registry.VersionRef]registry.Content{},
		Aliases:  map[registry.AliasRef]registry.VersionRef{},
	}
	for _, ref := range h.registry.Versions() {
		listing.Versions[ref], _ = h.registry.Version(ref)
	}
	for _, ref := range h.registry.Aliases() {
		listing.Aliases[ref], _ = h.registry.Alias(ref)
	}
	return listing
}

// TestFirstResponseIsError checks that the core recovers from any error in the registry's first response.
func TestFirstResponseIsError(t *testing.T) {
	for _, err := range []error{registry.ErrFutureRevision, registry.ErrCompacted, errors.New("other")} {
		c := New(DefaultConfig)
		c.Step(0, nil)
		c.Step(time.Second, []Event{RequestFailed{err}})
		actions := c.Step(2*time.Second, []Event{ListReceived{listingAt(5, "1")}})
		if _, count := lastAction[Watch](actions); count != 1 {
			t.Errorf("after %v and a listing: %v", err, actions)
		}
	}
}
