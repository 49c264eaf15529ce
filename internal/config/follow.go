package config

import (
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// FollowFile calls use with a file's content now and after each change, and refused with what is wrong where it
// can't be read or used. Content that was refused is tried again when it changes. It returns when stop is closed.
func FollowFile(path string, stop <-chan struct{}, use func(raw []byte) error, refused func(error)) {
	// Watches are few on some systems (inotify(7), max_user_instances). Without one the file is read each second
	// all the same: a list of workers must not go unread because of that.
	var events chan fsnotify.Event
	var errs chan error
	if watch, err := fsnotify.NewWatcher(); err == nil {
		defer func() { _ = watch.Close() }()
		// The folder is watched, as a file that is replaced by rename is another file.
		if err := watch.Add(filepath.Dir(path)); err == nil {
			events, errs = watch.Events, watch.Errors
		}
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
			return
		case e := <-events:
			if filepath.Clean(e.Name) == filepath.Clean(path) && !e.Has(fsnotify.Chmod) {
				read()
			}
		case err := <-errs:
			refused(err)
		case <-again.C:
			read()
		}
	}
}
