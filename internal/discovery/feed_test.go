package discovery

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// names is a list in short.
func names(list []endpoints.Worker) string {
	var out []string
	for _, w := range list {
		s := w.ID + "@" + w.Address
		if w.State == dispatch.EndpointDraining {
			s += " drains"
		}
		out = append(out, s)
	}
	return strings.Join(out, ", ")
}

func batch(t *testing.T, raw string) Batch {
	t.Helper()
	b, err := Parse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// stage is a channel with a whole list as its first event, and a feed that follows it.
func stage(t *testing.T, answer func(int, string) (string, bool)) (*fakeplatform.Channel, *Feed, chan string) {
	t.Helper()
	c, err := fakeplatform.StartChannel(fakeplatform.Nodes(true, "a 1.1.1.1:1 active", "b 1.1.1.2:1 active"))
	if err != nil {
		t.Fatal(err)
	}
	c.Answer = answer
	lists := make(chan string, 64)
	f, err := Start(Config{Address: c.Addr(), Connect: 5 * time.Second, Block: 200 * time.Millisecond, Grace: 300 * time.Millisecond,
		Pause: 50 * time.Millisecond, MaxBody: 1 << 16, At: func(time.Time) time.Duration { return 1 },
		Use: func(l []endpoints.Worker) { lists <- names(l) }}, batch(t, c.Known()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close(); c.Stop() })
	if got := fakeplatform.Await(t, lists, "what is known"); got != "a@1.1.1.1:1, b@1.1.1.2:1" {
		t.Fatalf("known: %s", got)
	}
	return c, f, lists
}

func TestChangesAreFollowed(t *testing.T) {
	c, _, lists := stage(t, nil)
	c.Tell(fakeplatform.Nodes(false, "a 1.1.1.1:1 leaving"))
	if got := fakeplatform.Await(t, lists, "the drain"); got != "a@1.1.1.1:1 drains, b@1.1.1.2:1" {
		t.Errorf("after the drain: %s", got)
	}
	c.Tell(fakeplatform.Nodes(false, "a 1.1.1.1:1 left", "c 1.1.1.1:1 active")) // a new one at the old address
	if got := fakeplatform.Await(t, lists, "the change"); got != "b@1.1.1.2:1, c@1.1.1.1:1" {
		t.Errorf("after the change: %s", got)
	}
	c.Tell(`"other":{"x":1}`) // an event of another kind counts and changes nothing
	c.Tell(fakeplatform.Nodes(true, "d 1.1.1.4:1 active"))
	if got := fakeplatform.Await(t, lists, "the whole list"); got != "d@1.1.1.4:1" {
		t.Errorf("after a whole list: %s", got)
	}
}

// TestWhateverBreaksIsAskedForAgain: an answer cut off in an event, garbled, unreadable, without end or never given
// leaves the list as it was and is followed by the same question; then the event is applied, once.
func TestWhateverBreaksIsAskedForAgain(t *testing.T) {
	whole := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, bad := range map[string]func(body string) (string, bool){
		"cut off within an event":  func(b string) (string, bool) { return whole(b)[:len(whole(b))-20], false },
		"cut off and held open":    func(b string) (string, bool) { return whole(b)[:len(whole(b))-20], true },
		"closed without a word":    func(string) (string, bool) { return "\r\n", false },
		"silent":                   func(string) (string, bool) { return "", true },
		"noise":                    func(string) (string, bool) { return "\x00\xff\x17noise\r\n\r\n", true },
		"an error":                 func(string) (string, bool) { return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", true },
		"no JSON":                  func(b string) (string, bool) { return whole(b[1:]), true },
		"no cursor":                func(string) (string, bool) { return whole(`{"cmds":[]}`), true },
		"a length of 3 GB":         func(string) (string, bool) { return "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n{", true },
		"a member without address": func(b string) (string, bool) { return whole(strings.Replace(b, "1.1.1.3:1", "", 1)), true },
		"a state that is no state": func(b string) (string, bool) {
			return whole(strings.Replace(b, `"phase":"active"`, `"phase":"odd"`, 1)), true
		},
		"without length, then ends": func(b string) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\n" + b[:len(b)-9], false },
		"events out of order": func(b string) (string, bool) {
			return whole(`{"cursor":9,"cmds":[{"cursor":3,` + fakeplatform.Nodes(false, "x 1.1.1.1:1 active") + `},{"cursor":2}]}`), true
		},
		"a gap": func(b string) (string, bool) {
			return whole(`{"cursor":9,"cmds":[{"cursor":9,` + fakeplatform.Nodes(false, "x 1.1.1.1:1 active") + `}]}`), true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			told := make(chan struct{})
			broke := make(chan struct{})
			c, f, lists := stage(t, func(question int, body string) (string, bool) {
				if !strings.Contains(body, "1.1.1.3") {
					return "", false
				}
				select {
				case <-told:
					return "", false
				default:
					close(told)
					defer close(broke)
					return bad(body)
				}
			})
			c.Tell(fakeplatform.Nodes(false, "c 1.1.1.3:1 active"))
			fakeplatform.Await(t, broke, "the broken answer")
			if got := fakeplatform.Await(t, lists, "the event"); got != "a@1.1.1.1:1, b@1.1.1.2:1, c@1.1.1.3:1" {
				t.Errorf("list %s", got)
			}
			if s := f.Stats(); s.Cursor != 2 || s.Events != 1 || s.Broken == 0 {
				t.Errorf("%+v", s)
			}
			for len(c.Asked()) > 0 {
				if n := <-c.Asked(); n > 2 {
					t.Errorf("asked from %d, past what was told", n)
				}
			}
		})
	}
}

// TestMoveKeepsTheCursor: at a new address the question in hand is given up and asked again from the same number,
// though the old address stays open and silent.
func TestMoveKeepsTheCursor(t *testing.T) {
	old, f, lists := stage(t, nil)
	old.Tell(fakeplatform.Nodes(false, "c 1.1.1.3:1 active"))
	fakeplatform.Await(t, lists, "the second event")
	to, err := fakeplatform.StartChannel(`"x":1`, `"x":2`, fakeplatform.Nodes(false, "d 1.1.1.4:1 active"))
	if err != nil {
		t.Fatal(err)
	}
	defer to.Stop()
	f.Move(to.Addr())
	if n := fakeplatform.Await(t, to.Asked(), "a question at the new address"); n != 2 {
		t.Errorf("asked from %d", n)
	}
	if got := fakeplatform.Await(t, lists, "the third event"); got != "a@1.1.1.1:1, b@1.1.1.2:1, c@1.1.1.3:1, d@1.1.1.4:1" {
		t.Errorf("list %s", got)
	}
	if s := f.Stats(); s.Cursor != 3 || s.Moves != 1 {
		t.Errorf("%+v", s)
	}
}

// TestApplyAllOrNothing: events that were applied are passed over, and a gap applies nothing of an answer.
func TestApplyAllOrNothing(t *testing.T) {
	tab := NewTable()
	first := `{"cursor":1,` + fakeplatform.Nodes(true, "a 1.1.1.1:1 active") + `}`
	second := `{"cursor":2,` + fakeplatform.Nodes(false, "b 1.1.1.2:1 active") + `}`
	if changed, err := tab.Apply(batch(t, `{"cursor":1,"cmds":[`+first+`]}`)); !changed || err != nil {
		t.Fatal(changed, err)
	}
	if changed, err := tab.Apply(batch(t, `{"cursor":1,"cmds":[`+first+`]}`)); changed || err != nil {
		t.Error("applied twice", changed, err)
	}
	fourth := `{"cursor":4,` + fakeplatform.Nodes(false, "a 1.1.1.1:1 left") + `}`
	if _, err := tab.Apply(batch(t, `{"cursor":4,"cmds":[`+second+`,`+fourth+`]}`)); !errors.Is(err, ErrGap) {
		t.Error("a gap:", err)
	}
	at := func(time.Time) time.Duration { return 1 }
	if got := names(tab.Workers(at)); got != "a@1.1.1.1:1" || tab.Cursor() != 1 {
		t.Errorf("after a gap: %s, cursor %d", got, tab.Cursor())
	}
	if changed, err := tab.Apply(batch(t, `{"cursor":2,"cmds":[`+first+`,`+second+`]}`)); !changed || err != nil {
		t.Error(changed, err)
	}
	if got := names(tab.Workers(at)); got != "a@1.1.1.1:1, b@1.1.1.2:1" {
		t.Error(got)
	}
}

// TestAWholeListAgain: it is taken with the next number and over numbers passed over, and what it leaves out is gone; one
// with a number that was applied changes nothing. A worker that was leaving may be listed as active again.
func TestAWholeListAgain(t *testing.T) {
	at := func(time.Time) time.Duration { return 1 }
	for name, n := range map[string]int{"the next number": 4, "numbers passed over": 9, "an old number": 3} {
		tab := NewTable()
		for i, event := range []string{fakeplatform.Nodes(true, "a 1.1.1.1:1 active", "b 1.1.1.2:1 active"),
			fakeplatform.Nodes(false, "a 1.1.1.1:1 leaving"), fakeplatform.Nodes(false, "c 1.1.1.3:1 active")} {
			if _, err := tab.Apply(batch(t, fmt.Sprintf(`{"cursor":%d,"cmds":[{"cursor":%d,%s}]}`, i+1, i+1, event))); err != nil {
				t.Fatal(err)
			}
		}
		if got := names(tab.Workers(at)); got != "a@1.1.1.1:1 drains, b@1.1.1.2:1, c@1.1.1.3:1" {
			t.Fatal(got)
		}
		whole := fakeplatform.Nodes(true, "a 1.1.1.1:1 active", "c 1.1.1.3:1 leaving")
		if _, err := tab.Apply(batch(t, fmt.Sprintf(`{"cursor":%d,"cmds":[{"cursor":%d,%s}]}`, n, n, whole))); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		want := "a@1.1.1.1:1, c@1.1.1.3:1 drains"
		if n == 3 {
			want = "a@1.1.1.1:1 drains, b@1.1.1.2:1, c@1.1.1.3:1"
		}
		if got := names(tab.Workers(at)); got != want || tab.Cursor() != int64(n) {
			t.Errorf("%s: %s, cursor %d", name, got, tab.Cursor())
		}
	}
}

// FuzzParse: no answer panics, and what is taken can be applied.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"cursor":1,"cmds":[{"cursor":1,` + fakeplatform.Nodes(true, "a 1.1.1.1:1 active") + `}]}`))
	f.Add([]byte(`{"cursor":1,"cmds":[{"cursor":null}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := Parse(raw)
		if err != nil {
			return
		}
		tab := NewTable()
		if _, err := tab.Apply(b); err == nil {
			for _, w := range tab.Workers(func(time.Time) time.Duration { return 1 }) {
				if w.ID == "" || w.Address == "" {
					t.Fatalf("unusable worker %+v", w)
				}
			}
		}
	})
}

// TestAHastyChannelIsNotAskedAtFullSpeed: one that holds no question back, and brings nothing, is asked at the pace of
// one that fails; what it brings later is applied all the same.
func TestAHastyChannelIsNotAskedAtFullSpeed(t *testing.T) {
	c, f, lists := stage(t, nil)
	c.Hasty()
	time.Sleep(300 * time.Millisecond)
	if s := f.Stats(); s.Questions > 100 {
		t.Errorf("%d questions in 0.3 s", s.Questions)
	}
	c.Tell(fakeplatform.Nodes(false, "c 1.1.1.3:1 active"))
	if got := fakeplatform.Await(t, lists, "the event"); got != "a@1.1.1.1:1, b@1.1.1.2:1, c@1.1.1.3:1" {
		t.Errorf("list %s", got)
	}
}
