// Package durable writes files that survive a loss of power once the call that wrote them has returned.
package durable

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FileSystem is what a writer of durable files needs of the system. Tests put one that fails in its place.
type FileSystem interface {
	// Create opens a file for writing, which is emptied if it exists.
	Create(path string, mode fs.FileMode) (File, error)
	// CreateTemp opens a new file in a directory, as os.CreateTemp does.
	CreateTemp(dir, pattern string) (File, error)
	// MkdirAll creates a directory with its parents where they don't exist.
	MkdirAll(path string, mode fs.FileMode) error
	// Rename gives a file another name, and replaces what has that name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDirectory makes the names in a directory durable.
	SyncDirectory(path string) error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Name() string
	Sync() error
}

// OS is the system's own FileSystem.
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

// temporarySuffix ends the name of a file that ReplaceFile is writing.
const temporarySuffix = ".new"

// ReplaceFile replaces a file's content. It is durable once ReplaceFile returns nil. After an error, or a crash at any
// step, the file has its old content or the new one as a whole. A call after an error writes everything again, as a sync
// that has failed says nothing about what a later one would write.
func ReplaceFile(system FileSystem, path string, content []byte, mode fs.FileMode) error {
	temporary := path + temporarySuffix
	err := writeSynced(system, temporary, content, mode)
	if err == nil {
		err = system.Rename(temporary, path)
	}
	if err != nil {
		_ = system.Remove(temporary)
		return err
	}
	return system.SyncDirectory(filepath.Dir(path))
}

// writeSynced writes a file whose bytes are durable, but not yet its name.
func writeSynced(system FileSystem, path string, content []byte, mode fs.FileMode) error {
	file, err := system.Create(path, mode)
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
