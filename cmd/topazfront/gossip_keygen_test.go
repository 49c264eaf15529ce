package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/topazfront/topazfront/internal/config"
)

// TestKeygenKeepsExistingFile checks that keygen replaces a file only with --overwrite if the file exists or if it
// can't tell, and that the file then has either a complete key or its previous content.
func TestKeygenKeepsExistingFile(t *testing.T) {
	dir := t.TempDir()
	existing, blocked := filepath.Join(dir, "existing"), filepath.Join(dir, "existing", "below a file")
	if err := os.WriteFile(existing, []byte("old"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name, file string
		overwrite  bool
		wantErr    bool
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
			if err := command.Run(); (err != nil) != test.wantErr {
				t.Errorf("error %v, want an error: %v", err, test.wantErr)
			}
			raw, _ := os.ReadFile(test.file)
			if _, err := config.ParseKey(test.file, raw); (err == nil) != test.wantKey {
				t.Errorf("file content %q", raw)
			}
			if temporary, _ := filepath.Glob(test.file + ".new"); len(temporary) > 0 {
				t.Errorf("temporary files not removed: %v", temporary)
			}
		})
	}
}
