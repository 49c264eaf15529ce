package catalog

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/registry"
)

func TestPinnedCallKeepsItsVersion(t *testing.T) {
	c := watchingCore(t)
	first, err := c.ResolveAlias(time.Second, currentAlias)
	if err != nil || first.VersionRef != versionRef("1") || first.Content != content(1) || first.Stale {
		t.Fatalf("%+v, %v", first, err)
	}
	c.Step(2*time.Second, []Event{RevisionsReceived{[]registry.Revision{
		moveRevision(6, "2"), moveRevision(7, "1"), moveRevision(8, "2"),
	}}})
	next, err := c.ResolveAlias(2*time.Second, currentAlias)
	if err != nil || next.VersionRef != versionRef("2") || next.Revision != 8 {
		t.Errorf("%+v, %v", next, err)
	}
	if first.Digest != content(1).Digest {
		t.Error("the first pin has changed")
	}
}

// TestRepeatedIdempotentCall expects a repeated call to get the version of the first call, or to be rejected.
func TestRepeatedIdempotentCall(t *testing.T) {
	const window = 6 * time.Second
	c := watchingCore(t)
	first, err := c.ResolveIdempotent(0, "k", window, currentAlias, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(time.Second, []Event{RevisionsReceived{[]registry.Revision{moveRevision(6, "2")}}})
	repeated, err := c.ResolveIdempotent(2*time.Second, "k", window, currentAlias, nil)
	if err != nil || repeated.VersionRef != first.VersionRef || repeated.Content != first.Content {
		t.Errorf("repeated call: %+v, %v", repeated, err)
	}
	other, err := c.ResolveIdempotent(2*time.Second, "other", window, currentAlias, nil)
	if err != nil || other.VersionRef != versionRef("2") {
		t.Errorf("another key: %+v, %v", other, err)
	}
	clientVersion := versionRef("1") // as at a router that did not receive the first call
	elsewhere, err := c.ResolveIdempotent(2*time.Second, "elsewhere", window, currentAlias, &clientVersion)
	if err != nil || elsewhere.VersionRef != clientVersion {
		t.Errorf("reported by the client: %+v, %v", elsewhere, err)
	}
	deletion := registry.DeleteVersion{VersionRef: versionRef("1")}
	c.Step(3*time.Second, []Event{RevisionsReceived{[]registry.Revision{
		{Number: 7, Changes: []registry.Change{deletion}},
	}}})
	for _, reported := range []*registry.VersionRef{nil, &clientVersion} {
		_, err := c.ResolveIdempotent(4*time.Second, "k", window, currentAlias, reported)
		if !errors.Is(err, ErrVersionRemoved) {
			t.Errorf("repeated call whose version was removed: %v", err)
		}
	}
	late, err := c.ResolveIdempotent(7*time.Second, "k", window, currentAlias, nil)
	if err != nil || late.VersionRef != versionRef("2") {
		t.Errorf("after the window: %+v, %v", late, err)
	}
}

// TestRememberedPinsAreBounded checks that remembered pins are bounded in number and expire.
func TestRememberedPinsAreBounded(t *testing.T) {
	config := DefaultConfig
	config.MaxIdempotencyKeys = 10
	c := New(config)
	c.Step(0, []Event{SnapshotLoaded{listingAt(5, "1")}})
	for i := range 1000 {
		_, _ = c.ResolveIdempotent(time.Duration(i), fmt.Sprint(i), time.Hour, currentAlias, nil)
	}
	if n := c.Status(0).IdempotencyKeys; n != 10 {
		t.Errorf("%d pins remembered, want 10", n)
	}
	c.Step(3*time.Hour, nil)
	if c.Status(3*time.Hour).IdempotencyKeys != 0 {
		t.Error("pins do not expire")
	}
}
