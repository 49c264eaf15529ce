// Package faultyfs has a file system whose calls can be made to fail.
package faultyfs

import (
	"io/fs"
	"sync"

	"github.com/topazfront/topazfront/internal/durable"
)

// Operation is the kind of a call to a durable.FileSystem or a durable.File.
type Operation string

// Kinds of calls.
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

// FS is a file system that passes calls on to that of the operating system, except for calls that Break or BreakOnce
// makes fail. It may be used from any goroutine.
type FS struct {
	mu       sync.Mutex
	calls    []Operation // since the last Break, BreakOnce or Repair
	breakAt  int         // number of the first call that fails; 0 means that none fails
	written  int         // bytes of the first failing call, if it is a write, that reach the file
	err      error       // of the calls that fail
	onlyOnce bool        // the calls after the first failing one succeed
}

// Break makes a call and all calls after it fail with err until Repair, as on a full or broken disk. call is the number
// of the first call that fails, where 1 is the next call. If that call is a write, its first written bytes reach the
// file. Break clears Calls.
func (f *FS) Break(call int, err error, written int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls, f.breakAt, f.err, f.written, f.onlyOnce = nil, call, err, written, false
}

// BreakOnce is like Break, but only one call fails.
func (f *FS) BreakOnce(call int, err error, written int) {
	f.Break(call, err, written)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onlyOnce = true
}

// Repair makes all further calls succeed and clears Calls.
func (f *FS) Repair() { f.Break(0, nil, 0) }

// Calls returns the calls since the last Break, BreakOnce or Repair.
func (f *FS) Calls() []Operation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Operation(nil), f.calls...)
}

// recordCall records a call and returns its error, or nil if the call succeeds.
func (f *FS) recordCall(operation Operation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, operation)
	n := len(f.calls)
	if f.breakAt == 0 || n < f.breakAt || f.onlyOnce && n > f.breakAt {
		return nil
	}
	return &fs.PathError{Op: string(operation), Path: "faulty", Err: f.err}
}

// partialWriteSize returns how many bytes of a write that has just failed reach the file.
func (f *FS) partialWriteSize() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.calls) != f.breakAt {
		return 0
	}
	return f.written
}

// Create implements durable.FileSystem.
func (f *FS) Create(path string, mode fs.FileMode) (durable.File, error) {
	if err := f.recordCall(Create); err != nil {
		return nil, err
	}
	return f.wrap(durable.OS.Create(path, mode))
}

// CreateTemp implements durable.FileSystem.
func (f *FS) CreateTemp(dir, pattern string) (durable.File, error) {
	if err := f.recordCall(Create); err != nil {
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
	if err := f.recordCall(Mkdir); err != nil {
		return err
	}
	return durable.OS.MkdirAll(path, mode)
}

// Rename implements durable.FileSystem.
func (f *FS) Rename(from, to string) error {
	if err := f.recordCall(Rename); err != nil {
		return err
	}
	return durable.OS.Rename(from, to)
}

// Remove implements durable.FileSystem.
func (f *FS) Remove(path string) error {
	if err := f.recordCall(Remove); err != nil {
		return err
	}
	return durable.OS.Remove(path)
}

// SyncDirectory implements durable.FileSystem.
func (f *FS) SyncDirectory(path string) error {
	if err := f.recordCall(SyncDirectory); err != nil {
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
	if err := w.fs.recordCall(Write); err != nil {
		n, _ := w.File.Write(p[:min(w.fs.partialWriteSize(), len(p))])
		return n, err
	}
	return w.File.Write(p)
}

// Sync implements durable.File.
func (w *file) Sync() error {
	if err := w.fs.recordCall(Sync); err != nil {
		return err
	}
	return w.File.Sync()
}

// Close implements io.Closer.
func (w *file) Close() error {
	err := w.fs.recordCall(Close)
	if closeErr := w.File.Close(); err == nil {
		err = closeErr
	}
	return err
}
