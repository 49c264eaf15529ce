// Package faultyfs is a file system whose calls fail as a test says.
package faultyfs

import (
	"io/fs"
	"sync"

	"github.com/topazfront/topazfront/internal/durable"
)

// Operation names a call of a durable.FileSystem or a durable.File.
type Operation string

// The operations.
const (
	Create        Operation = "create"
	Mkdir         Operation = "mkdir"
	Write         Operation = "write"
	Sync          Operation = "sync"
	Close         Operation = "close"
	Rename        Operation = "rename"
	Remove        Operation = "remove"
	SyncDirectory Operation = "sync directory"
)

// FS passes calls on to the system's own file system, but those that are to fail. After a fault of Break all
// calls fail until Repair, as on a disk that is full or broken.
type FS struct {
	mu       sync.Mutex
	calls    []Operation
	breakAt  int // number of the call that fails; 0: none
	written  int // bytes of a failing write that reach the file
	err      error
	onlyOnce bool // the calls after the one that fails succeed
}

// Break makes the call of that number, counted from 1 and from now on, fail with err, and all after it. If it is a
// write, that many of its bytes reach the file. The count of calls starts anew.
func (f *FS) Break(call int, err error, written int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls, f.breakAt, f.err, f.written, f.onlyOnce = nil, call, err, written, false
}

// BreakOnce is Break, but the calls after the one that fails succeed.
func (f *FS) BreakOnce(call int, err error, written int) {
	f.Break(call, err, written)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onlyOnce = true
}

// Repair lets all calls succeed. The count of calls starts anew.
func (f *FS) Repair() { f.Break(0, nil, 0) }

// Calls returns the calls since the latest Break or Repair.
func (f *FS) Calls() []Operation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Operation(nil), f.calls...)
}

// count counts a call and returns its error.
func (f *FS) count(operation Operation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, operation)
	n := len(f.calls)
	if f.breakAt == 0 || n < f.breakAt || f.onlyOnce && n > f.breakAt {
		return nil
	}
	return &fs.PathError{Op: string(operation), Path: "faulty", Err: f.err}
}

// partial returns how many bytes of a failing write reach the file.
func (f *FS) partial() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.calls) != f.breakAt {
		return 0
	}
	return f.written
}

// Create implements durable.FileSystem.
func (f *FS) Create(path string, mode fs.FileMode) (durable.File, error) {
	if err := f.count(Create); err != nil {
		return nil, err
	}
	return f.wrap(durable.OS.Create(path, mode))
}

// CreateTemp implements durable.FileSystem.
func (f *FS) CreateTemp(dir, pattern string) (durable.File, error) {
	if err := f.count(Create); err != nil {
		return nil, err
	}
	return f.wrap(durable.OS.CreateTemp(dir, pattern))
}

func (f *FS) wrap(opened durable.File, err error) (durable.File, error) {
	if err != nil {
		return nil, err
	}
	return &file{opened, f}, nil
}

// MkdirAll implements durable.FileSystem.
func (f *FS) MkdirAll(path string, mode fs.FileMode) error {
	if err := f.count(Mkdir); err != nil {
		return err
	}
	return durable.OS.MkdirAll(path, mode)
}

// Rename implements durable.FileSystem.
func (f *FS) Rename(from, to string) error {
	if err := f.count(Rename); err != nil {
		return err
	}
	return durable.OS.Rename(from, to)
}

// Remove implements durable.FileSystem.
func (f *FS) Remove(path string) error {
	if err := f.count(Remove); err != nil {
		return err
	}
	return durable.OS.Remove(path)
}

// SyncDirectory implements durable.FileSystem.
func (f *FS) SyncDirectory(path string) error {
	if err := f.count(SyncDirectory); err != nil {
		return err
	}
	return durable.OS.SyncDirectory(path)
}

// file is a file of an FS.
type file struct {
	durable.File
	fs *FS
}

// Write implements io.Writer.
func (w *file) Write(p []byte) (int, error) {
	if err := w.fs.count(Write); err != nil {
		n, _ := w.File.Write(p[:min(w.fs.partial(), len(p))])
		return n, err
	}
	return w.File.Write(p)
}

// Sync implements durable.File.
func (w *file) Sync() error {
	if err := w.fs.count(Sync); err != nil {
		return err
	}
	return w.File.Sync()
}

// Close implements io.Closer.
func (w *file) Close() error {
	err := w.fs.count(Close)
	if closeErr := w.File.Close(); err == nil {
		err = closeErr
	}
	return err
}
