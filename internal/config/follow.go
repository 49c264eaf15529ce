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
	FileHandler
	path        string
	lastContent string
	unreadable  bool // the last read failed
	rejected    bool // Apply rejected lastContent
}

// FileHandler is notified of a file that is followed.
type FileHandler struct {
	Apply   func(raw []byte) error // takes the content, now and after each change
	Reject  func(error)            // takes the error where the file can't be read or Apply fails
	Confirm func(readAt time.Time) // is called after each read that found what was last applied; nil: not called
}

// FollowFile tells a handler of a file's content. Content that Apply rejected is not tried again until it changes. It returns
// when stop is closed.
func FollowFile(path string, stop <-chan struct{}, handler FileHandler) {
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
	f := &follower{path: path, FileHandler: handler}
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
			handler.Reject(err)
		case <-ticker.C:
			f.read()
		}
	}
}

// read applies the file's content if it has changed, or can be read again.
func (f *follower) read() {
	readAt := time.Now()
	raw, err := os.ReadFile(f.path)
	if err != nil {
		if !f.unreadable { // reported once, not at each poll
			f.Reject(err)
		}
		f.unreadable = true
		return
	}
	if string(raw) != f.lastContent || f.unreadable {
		f.applyContent(raw)
	}
	if f.Confirm != nil && !f.rejected {
		f.Confirm(readAt)
	}
}

// applyContent applies content that is new, or was not readable for a while.
func (f *follower) applyContent(raw []byte) {
	f.lastContent = string(raw)
	f.unreadable = false
	err := f.Apply(raw)
	f.rejected = err != nil
	if err != nil {
		f.Reject(err)
	}
}
