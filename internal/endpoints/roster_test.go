package endpoints

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

func list(state dispatch.State, started time.Duration) []Worker {
	return []Worker{{Member: dispatch.Member{ID: "b", State: state, Started: started}}, {Member: dispatch.Member{ID: "a"}}}
}

// state is how the core last said that b stands.
func state(t *testing.T, c *Core, now time.Duration) (dispatch.State, bool) {
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
	c := New(Settings{AskAfter: 5 * time.Second})
	c.List(0, list(dispatch.On, 0))
	if s, ok := state(t, c, 0); !ok || s != dispatch.On {
		t.Fatal("first list")
	}
	c.Drains(1, "b")
	if s, ok := state(t, c, 1); !ok || s != dispatch.Draining {
		t.Fatal("its own word")
	}
	c.List(2, list(dispatch.On, 0)) // late: as it was before
	if s, _ := state(t, c, 2); s != dispatch.Draining {
		t.Fatal("a late list undid the drain")
	}
	c.Drains(3, "nobody") // not in the list: nothing
	if out := c.Step(3); out.List != nil || out.Ask != nil {
		t.Fatalf("%+v", out)
	}
}

func TestWhatEndsADrain(t *testing.T) {
	for name, end := range map[string]func(c *Core){
		"a fresh start":      func(c *Core) { c.List(9, list(dispatch.On, 8)) },
		"left, and on again": func(c *Core) { c.List(9, list(dispatch.Draining, 0)); c.List(9, list(dispatch.On, 0)) },
		"gone, and on again": func(c *Core) { c.List(9, nil); c.List(9, list(dispatch.On, 0)) },
		"its own word": func(c *Core) {
			if out := c.Step(7 * time.Second); len(out.Ask) != 1 || out.Ask[0] != "b" {
				panic("not asked")
			}
			c.Asked(8*time.Second, "b", true)
		},
	} {
		c := New(Settings{AskAfter: 5 * time.Second})
		c.List(0, list(dispatch.On, 0))
		c.Drains(1, "b")
		c.Step(1)
		end(c)
		if s, ok := state(t, c, 9*time.Second); !ok || s != dispatch.On {
			t.Errorf("%s: %v", name, s)
		}
		if _, ok := c.Due(); ok {
			t.Errorf("%s: still to be asked", name)
		}
	}
}

func TestAskedAgainWhileItDrains(t *testing.T) {
	c := New(Settings{AskAfter: 5 * time.Second})
	c.List(0, list(dispatch.On, 0))
	c.Drains(0, "b")
	if at, ok := c.Due(); !ok || at != 5*time.Second {
		t.Fatalf("due at %v", at)
	}
	if out := c.Step(4 * time.Second); out.Ask != nil {
		t.Error("asked too soon")
	}
	if out := c.Step(5 * time.Second); len(out.Ask) != 1 {
		t.Error("not asked")
	}
	if _, ok := c.Due(); ok {
		t.Error("asked twice at once")
	}
	c.Asked(6*time.Second, "b", false)
	if at, _ := c.Due(); at != 11*time.Second {
		t.Errorf("asked again at %v", at)
	}
	c.List(7*time.Second, list(dispatch.Draining, 0))
	if _, ok := c.Due(); ok {
		t.Error("asked though the list says itself that it drains")
	}
}
