package durable_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/topazfront/topazfront/internal/durable"
	"github.com/topazfront/topazfront/internal/testsupport/faultyfs"
)

// TestReplaceFileWithFaults fails each call in turn, and cuts the write at each byte. The file then has its old content
// or the new one; the caller gets the cause; once the disk works again, the same call succeeds and syncs everything.
func TestReplaceFileWithFaults(t *testing.T) {
	before, after := []byte("old content"), []byte("new content, longer")
	healthy := []faultyfs.Operation{faultyfs.Create, faultyfs.Write, faultyfs.Sync, faultyfs.Close, faultyfs.Rename,
		faultyfs.SyncDirectory}
	for call, operation := range healthy {
		cuts := 1
		if operation == faultyfs.Write {
			cuts = len(after) + 1
		}
		for cut := range cuts {
			for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
				path := filepath.Join(t.TempDir(), "key.pem")
				if err := os.WriteFile(path, before, 0o600); err != nil {
					t.Fatal(err)
				}
				disk := &faultyfs.FS{}
				disk.Break(call+1, cause, cut)
				if err := durable.ReplaceFile(disk, path, after, 0o600); !errors.Is(err, cause) {
					t.Errorf("%s at byte %d: %v, want %v", operation, cut, err, cause)
				}
				if got, _ := os.ReadFile(path); !bytes.Equal(got, before) && !bytes.Equal(got, after) {
					t.Errorf("%s at byte %d left %q", operation, cut, got)
				}
				disk.Repair()
				if err := durable.ReplaceFile(disk, path, after, 0o600); err != nil {
					t.Errorf("after %s: %v", operation, err)
				}
				if calls := disk.Calls(); len(calls) != len(healthy) {
					t.Errorf("the call after %s did %v, want %v", operation, calls, healthy)
				}
				if got, _ := os.ReadFile(path); !bytes.Equal(got, after) {
					t.Errorf("after %s and a repair: %q", operation, got)
				}
			}
		}
	}
}
