package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what a case writes to record.txt: one line for each thing that was sent, answered or run.
type record struct {
	startedAt time.Time

	mu     sync.Mutex
	file   *os.File
	buffer *bufio.Writer
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file, buffer: bufio.NewWriter(file)}, nil
}

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.startedAt) }

// add writes one line with the present time.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buffer, "%9.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buffer.Flush()
	r.file.Close()
}
