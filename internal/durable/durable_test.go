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
	// successfulCalls are the calls of a replacement that succeeds.
	successfulCalls = []faultyfs.Operation{faultyfs.Create, faultyfs.Write, faultyfs.Sync, faultyfs.Close,
		faultyfs.Rename, faultyfs.SyncDirectory}
)

// TestReplaceFileWithFaults makes each file operation fail in turn, and the write after each number of bytes. The
// file must then have its old content or the whole new content, and the caller must get the cause of the error. Once
// the disk works again, the same call must succeed and repeat every operation.
func TestReplaceFileWithFaults(t *testing.T) {
	for call, operation := range successfulCalls {
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

// replaceWithFault replaces a file while one operation fails, and again after the disk works.
func replaceWithFault(t *testing.T, call int, cause error, cut int) {
	path := filepath.Join(t.TempDir(), "key.pem")
	if err := os.WriteFile(path, before, 0o600); err != nil {
		t.Fatal(err)
	}
	disk := &faultyfs.FS{}
	disk.Break(call, cause, cut)
	if err := durable.ReplaceFile(disk, path, after, 0o600); !errors.Is(err, cause) {
		t.Errorf("error %v, want %v", err, cause)
	}
	if got, _ := os.ReadFile(path); !bytes.Equal(got, before) && !bytes.Equal(got, after) {
		t.Errorf("content %q, want the old or the new one", got)
	}
	disk.Repair()
	if err := durable.ReplaceFile(disk, path, after, 0o600); err != nil {
		t.Error(err)
	}
	if calls := disk.Calls(); !slices.Equal(calls, successfulCalls) {
		t.Errorf("operations of the retry: %v, want %v", calls, successfulCalls)
	}
	if got, _ := os.ReadFile(path); !bytes.Equal(got, after) {
		t.Errorf("content after the retry: %q", got)
	}
}
