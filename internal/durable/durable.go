// Package durable writes files whose content survives a power loss after the write has returned.
package durable

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FileSystem has the file operations that durable writes need. Tests replace it with one that injects errors.
type FileSystem interface {
	// Create opens a file for writing. It truncates an existing file.
	Create(path string, mode fs.FileMode) (File, error)
	// CreateTemp creates a new file in a directory, like os.CreateTemp.
	CreateTemp(dir, pattern string) (File, error)
	// MkdirAll creates a directory and any missing parents.
	MkdirAll(path string, mode fs.FileMode) error
	// Rename renames a file and replaces a file that has the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDirectory makes the directory's entries durable.
	SyncDirectory(path string) error
}

// File is a file opened for writing.
type File interface {
	io.WriteCloser
	Name() string
	Sync() error
}

// OS is the FileSystem of the operating system.
var OS FileSystem = osFileSystem{}

type osFileSystem struct{}

func (osFileSystem) Create(path string, mode fs.FileMode) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
}

func (osFileSystem) CreateTemp(dir, pattern string) (File, error) { return os.CreateTemp(dir, pattern) }

func (osFileSystem) MkdirAll(path string, mode fs.FileMode) error { return os.MkdirAll(path, mode) }

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) Remove(path string) error { return os.Remove(path) }

func (osFileSystem) SyncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	_ = dir.Close()
	return err
}

// temporarySuffix is appended to the name of the temporary file that ReplaceFile writes.
const temporarySuffix = ".new"

// ReplaceFile atomically replaces a file's content, which is durable once ReplaceFile returns nil. After an error, or
// a crash at any step, the file has either its old content or the whole new content. To retry after an error, call
// ReplaceFile again: it writes everything again, because after a failed sync a later successful one does not prove
// that the data is on disk.
func ReplaceFile(fsys FileSystem, path string, content []byte, mode fs.FileMode) error {
	temporaryPath := path + temporarySuffix
	err := writeSynced(fsys, temporaryPath, content, mode)
	if err == nil {
		err = fsys.Rename(temporaryPath, path)
	}
	if err != nil {
		_ = fsys.Remove(temporaryPath)
		return err
	}
	return fsys.SyncDirectory(filepath.Dir(path))
}

// writeSynced writes and syncs a file. Its content is then durable, but its directory entry is not.
func writeSynced(fsys FileSystem, path string, content []byte, mode fs.FileMode) error {
	file, err := fsys.Create(path, mode)
	if err != nil {
		return err
	}
	if _, err = file.Write(content); err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
