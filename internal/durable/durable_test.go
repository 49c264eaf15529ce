package durable_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/topazfront/topazfront/internal/durable"
	"github.com/topazfront/topazfront/internal/testsupport/faultyfs"
)

var (
	before, after = []byte("old content"), []byte("new content, longer")
	// healthy are the calls of a replacement that succeeds.
	healthy = []faultyfs.Operation{faultyfs.Create, faultyfs.Write, faultyfs.Sync, faultyfs.Close, faultyfs.Rename,
		faultyfs.SyncDirectory}
)

// TestReplaceFileWithFaults fails each call in turn, and cuts the write at each byte. The file then has its old content
// or the new one; the caller gets the cause; once the disk works again, the same call succeeds and syncs everything.
func TestReplaceFileWithFaults(t *testing.T) {
	for call, operation := range healthy {
		cuts := 1
		if operation == faultyfs.Write {
			cuts = len(after) + 1
		}
		for cut := range cuts {
			for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
				t.Run(fmt.Sprintf("%s at byte %d, %v", operation, cut, cause), func(t *testing.T) {
					replaceWithFault(t, call+1, cause, cut)
				})
			}
		}
	}
}

// replaceWithFault has one call of a replacement fail, and then replaces the file on a disk that works.
func replaceWithFault(t *testing.T, call int, cause error, cut int) {
	path := filepath.Join(t.TempDir(), "key.pem")
	if err := os.WriteFile(path, before, 0o600); err != nil {
		t.Fatal(err)
	}
	disk := &faultyfs.FS{}
	disk.Break(call, cause, cut)
	if err := durable.ReplaceFile(disk, path, after, 0o600); !errors.Is(err, cause) {
		t.Errorf("%v, want %v", err, cause)
	}
	if got, _ := os.ReadFile(path); !bytes.Equal(got, before) && !bytes.Equal(got, after) {
		t.Errorf("left %q", got)
	}
	disk.Repair()
	if err := durable.ReplaceFile(disk, path, after, 0o600); err != nil {
		t.Error(err)
	}
	if calls := disk.Calls(); !slices.Equal(calls, healthy) {
		t.Errorf("the next call did %v, want %v", calls, healthy)
	}
	if got, _ := os.ReadFile(path); !bytes.Equal(got, after) {
		t.Errorf("after a repair: %q", got)
	}
}
