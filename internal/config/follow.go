package config

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// FollowFile calls use with a file's content now and after each change, and refused with what is wrong where it
// can't be read or used. Content that was refused is tried again when it changes. It returns when stop is closed.
func FollowFile(path string, stop <-chan struct{}, use func(raw []byte) error, refused func(error)) error {
	watch, err := fsnotify.NewWatcher()
	if err != nil {
		return err
	}
	defer func() { _ = watch.Close() }()
	// The folder is watched, as a file that is replaced by rename is another file.
	if err := watch.Add(filepath.Dir(path)); err != nil {
		return fmt.Errorf("%s: %w", filepath.Dir(path), err)
	}
	last, lost := "", false
	read := func() {
		raw, err := os.ReadFile(path)
		if err != nil {
			if !lost { // told once, not each second
				refused(err)
			}
			lost = true
			return
		}
		if string(raw) == last && !lost {
			return
		}
		last, lost = string(raw), false
		if err := use(raw); err != nil {
			refused(err)
		}
	}
	read()
	again := time.NewTicker(time.Second) // file events may be lost when many come at once
	defer again.Stop()
	for {
		select {
		case <-stop:
			return nil
		case e, ok := <-watch.Events:
			if !ok {
				return nil
			}
			if filepath.Clean(e.Name) == filepath.Clean(path) && !e.Has(fsnotify.Chmod) {
				read()
			}
		case err, ok := <-watch.Errors:
			if !ok {
				return nil
			}
			refused(err)
		case <-again.C:
			read()
		}
	}
}
