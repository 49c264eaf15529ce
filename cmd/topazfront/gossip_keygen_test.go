package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/topazfront/topazfront/internal/config"
)

// TestKeygenReplacesNothingByMistake: a file that exists, or may exist, is replaced only when asked for, and what is there
// afterwards is a whole key or what was there before.
func TestKeygenReplacesNothingByMistake(t *testing.T) {
	dir := t.TempDir()
	existing, blocked := filepath.Join(dir, "existing"), filepath.Join(dir, "existing", "below a file")
	if err := os.WriteFile(existing, []byte("old"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name, file string
		overwrite  bool
		fails      bool
		wantKey    bool
	}{
		{"new", filepath.Join(dir, "new"), false, false, true},
		{"existing", existing, false, true, false},
		{"not to be examined", blocked, false, true, false},
		{"in a folder that does not exist", filepath.Join(dir, "none", "key"), false, true, false},
		{"overwritten", existing, true, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			command := gossipKeygenCmd{ID: "r0", Key: "k1", File: test.file, Overwrite: test.overwrite}
			if err := command.Run(); (err != nil) != test.fails {
				t.Errorf("%v, failure expected: %v", err, test.fails)
			}
			raw, _ := os.ReadFile(test.file)
			if _, err := config.ParseKey(test.file, raw); (err == nil) != test.wantKey {
				t.Errorf("holds %q", raw)
			}
			if left, _ := filepath.Glob(test.file + ".new"); len(left) > 0 {
				t.Errorf("left behind: %v", left)
			}
		})
	}
}
