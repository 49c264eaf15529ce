package endpoints

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

func list(state dispatch.EndpointState, started time.Duration) []Worker {
	return []Worker{{Endpoint: dispatch.Endpoint{ID: "b", State: state, StartedAt: started}}, {Endpoint: dispatch.Endpoint{ID: "a"}}}
}

// state is how the core last said that b stands.
func state(t *testing.T, c *Merger, now time.Duration) (dispatch.EndpointState, bool) {
	t.Helper()
	out := c.Step(now)
	for _, w := range out.List {
		if w.ID == "b" {
			return w.State, true
		}
	}
	return 0, false
}

func TestOwnWordOutlastsALateList(t *testing.T) {
	c := New(Settings{CheckInterval: 5 * time.Second})
	c.SetList(0, list(dispatch.EndpointActive, 0))
	if s, ok := state(t, c, 0); !ok || s != dispatch.EndpointActive {
		t.Fatal("first list")
	}
	c.WorkerDraining(1, "b")
	if s, ok := state(t, c, 1); !ok || s != dispatch.EndpointDraining {
		t.Fatal("its own word")
	}
	c.SetList(2, list(dispatch.EndpointActive, 0)) // late: as it was before
	if s, _ := state(t, c, 2); s != dispatch.EndpointDraining {
		t.Fatal("a late list undid the drain")
	}
	c.WorkerDraining(3, "nobody") // not in the list: nothing
	if out := c.Step(3); out.List != nil || out.Check != nil {
		t.Fatalf("%+v", out)
	}
}

func TestWhatEndsADrain(t *testing.T) {
	for name, end := range map[string]func(c *Merger){
		"a fresh start": func(c *Merger) { c.SetList(9, list(dispatch.EndpointActive, 8)) },
		"left, and on again": func(c *Merger) {
			c.SetList(9, list(dispatch.EndpointDraining, 0))
			c.SetList(9, list(dispatch.EndpointActive, 0))
		},
		"gone, and on again": func(c *Merger) { c.SetList(9, nil); c.SetList(9, list(dispatch.EndpointActive, 0)) },
		"its own word": func(c *Merger) {
			if out := c.Step(7 * time.Second); len(out.Check) != 1 || out.Check[0] != "b" {
				panic("not asked")
			}
			c.HealthChecked(8*time.Second, "b", true)
		},
	} {
		c := New(Settings{CheckInterval: 5 * time.Second})
		c.SetList(0, list(dispatch.EndpointActive, 0))
		c.WorkerDraining(1, "b")
		c.Step(1)
		end(c)
		if s, ok := state(t, c, 9*time.Second); !ok || s != dispatch.EndpointActive {
			t.Errorf("%s: %v", name, s)
		}
		if _, ok := c.NextCheck(); ok {
			t.Errorf("%s: still to be asked", name)
		}
	}
}

func TestAskedAgainWhileItDrains(t *testing.T) {
	c := New(Settings{CheckInterval: 5 * time.Second})
	c.SetList(0, list(dispatch.EndpointActive, 0))
	c.WorkerDraining(0, "b")
	if at, ok := c.NextCheck(); !ok || at != 5*time.Second {
		t.Fatalf("due at %v", at)
	}
	if out := c.Step(4 * time.Second); out.Check != nil {
		t.Error("asked too soon")
	}
	if out := c.Step(5 * time.Second); len(out.Check) != 1 {
		t.Error("not asked")
	}
	if _, ok := c.NextCheck(); ok {
		t.Error("asked twice at once")
	}
	c.HealthChecked(6*time.Second, "b", false)
	if at, _ := c.NextCheck(); at != 11*time.Second {
		t.Errorf("asked again at %v", at)
	}
	c.SetList(7*time.Second, list(dispatch.EndpointDraining, 0))
	if _, ok := c.NextCheck(); ok {
		t.Error("asked though the list says itself that it drains")
	}
}
