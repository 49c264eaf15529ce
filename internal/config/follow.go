package config

import (
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// PollInterval is how often a file is read without a file event: events may be lost when many come at once.
const PollInterval = time.Second

// follower reads one file for as long as FollowFile runs, in its caller's goroutine.
type follower struct {
	path        string
	apply       func(raw []byte) error
	reject      func(error)
	lastContent string
	unreadable  bool // the last read failed
}

// FollowFile calls apply with a file's content now and after each change, and reject with the error where the file cannot
// be read or apply fails. Content that apply rejected is not tried again until it changes. It returns when stop is closed.
func FollowFile(path string, stop <-chan struct{}, apply func(raw []byte) error, reject func(error)) {
	// Watches are few on some systems (inotify(7), max_user_instances). Without one the file is polled
	// all the same: a worker list must not go unread because of that.
	var events chan fsnotify.Event
	var errs chan error
	if watcher, err := fsnotify.NewWatcher(); err == nil {
		defer func() { _ = watcher.Close() }()
		// The folder is watched, as a file that is replaced by rename is another file.
		if err := watcher.Add(filepath.Dir(path)); err == nil {
			events, errs = watcher.Events, watcher.Errors
		}
	}
	f := &follower{path: path, apply: apply, reject: reject}
	f.read()
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case event := <-events:
			if filepath.Clean(event.Name) == filepath.Clean(path) && !event.Has(fsnotify.Chmod) {
				f.read()
			}
		case err := <-errs:
			reject(err)
		case <-ticker.C:
			f.read()
		}
	}
}

// read applies the file's content if it has changed, or can be read again.
func (f *follower) read() {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		if !f.unreadable { // reported once, not at each poll
			f.reject(err)
		}
		f.unreadable = true
		return
	}
	if string(raw) == f.lastContent && !f.unreadable {
		return
	}
	f.lastContent, f.unreadable = string(raw), false
	if err := f.apply(raw); err != nil {
		f.reject(err)
	}
}
