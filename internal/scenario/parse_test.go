package scenario

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestEmbeddedScenariosAreValid(t *testing.T) {
	if len(Names()) < 4 {
		t.Fatalf("only %v", Names())
	}
	for _, name := range Names() {
		if _, err := Load(name); err != nil {
			t.Error(err)
		}
	}
	s, err := Load("bad-day")
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]bool{}
	for _, f := range s.Faults {
		kinds[f.Kind] = true
	}
	if len(kinds) < 8 {
		t.Errorf("bad-day has %d kinds of fault", len(kinds))
	}
}

func TestParseErrorsNameLineOrKey(t *testing.T) {
	valid, err := embedded.ReadFile("scenarios/demo.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, replacement, want string }{
		{"value out of range", `"length_s": 12`, `"length_s": -1`, "length_s"},
		{"unknown kind of fault", `"kind": "hang"`, `"kind": "hung"`, `troubles[0].kind: "hung"`},
		{"unknown key", `"routers": 2`, `"routes": 2`, "routes"},
		{"unknown class", `"class": "points"`, `"class": "point"`, "troubles[2].class"},
		{"syntax", `"seed": 7,`, `"seed": 7`, "line 5"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("x.json", []byte(strings.Replace(string(valid), c.old, c.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "x.json") {
				t.Errorf("%v, want it to name %s", err, c.want)
			}
		})
	}
	t.Run("no such file", func(t *testing.T) {
		if _, err := Load(filepath.Join(t.TempDir(), "none.json")); !errors.Is(err, os.ErrNotExist) {
			t.Error(err)
		}
	})
}
