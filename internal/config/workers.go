package config

import (
	"fmt"
	"net"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// Worker is one entry of the worker list.
type Worker struct {
	ID        string     `json:"id"`
	Address   string     `json:"address"` // host:port
	Zone      string     `json:"zone,omitempty"`
	Kind      string     `json:"kind,omitempty"` // name of one of Gateway.WorkerKinds
	Cell      int        `json:"cell,omitempty"`
	State     string     `json:"state,omitempty"` // on, draining or gone; empty means on
	Weight    float64    `json:"weight,omitempty"`
	StartedAt *time.Time `json:"started,omitempty"` // last start of the worker's process; nil if it started long ago
}

// WorkerList is the content of the worker list file.
type WorkerList struct {
	Workers []Worker `json:"workers"`
}

// ParseWorkers parses and validates a worker list. An invalid list is reported as an InvalidError, in which file is the
// list's name. A list with any problem is rejected as a whole, so that a half-written file takes no worker out of
// service.
func ParseWorkers(file string, raw []byte) (*WorkerList, error) {
	var list WorkerList
	if err := decode(file, raw, workersSchema, &list); err != nil {
		return nil, err
	}
	invalid, seen := &InvalidError{File: file}, map[string]bool{}
	for i, w := range list.Workers {
		if seen[w.ID] {
			invalid.add(fmt.Sprintf("/workers/%d/id", i), "%q is named twice", w.ID)
		}
		seen[w.ID] = true
		if _, _, err := net.SplitHostPort(w.Address); err != nil {
			invalid.add(fmt.Sprintf("/workers/%d/address", i), "%v", err)
		}
	}
	if err := invalid.orNil(); err != nil {
		return nil, err
	}
	return &list, nil
}

// Endpoints converts the list to the router's form. All lists from one file must be converted with the same starts,
// which keeps the start times of earlier lists.
func (l *WorkerList) Endpoints(starts *endpoints.StartTimes) []endpoints.Worker {
	listed := make(map[string]bool, len(l.Workers))
	workers := make([]endpoints.Worker, 0, len(l.Workers))
	for _, w := range l.Workers {
		endpoint := dispatch.Endpoint{ID: w.ID, Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, State: endpointStates[w.State],
			Weight: w.Weight}
		if w.StartedAt != nil {
			endpoint.StartedAt = starts.Convert(w.ID, wallclock.FromTime(*w.StartedAt))
		}
		workers = append(workers, endpoints.Worker{Endpoint: endpoint, Address: w.Address})
		listed[w.ID] = true
	}
	starts.Retain(func(id string) bool { return listed[id] })
	return workers
}

// StartTimes returns the workers' start times in Unix milliseconds, or 0 if the list has none. They are the same at
// every router that reads the list.
func (l *WorkerList) StartTimes() map[string]uint64 {
	starts := make(map[string]uint64, len(l.Workers))
	for _, w := range l.Workers {
		starts[w.ID] = 0
		if w.StartedAt != nil {
			starts[w.ID] = wallclock.FromTime(*w.StartedAt).UnixMilli()
		}
	}
	return starts
}

// WriteWorkers replaces a worker list file atomically: a reader sees either the old list or the new one.
func WriteWorkers(path string, list WorkerList) error { return WriteJSON(path, list) }

// WorkerListHandler receives the reads of a worker list that FollowWorkers follows.
type WorkerListHandler struct {
	Apply   func(*WorkerList)      // is called with the list at the start and after each change
	Reject  func(error)            // is called if the file is unreadable or invalid; the previous list stays in use
	Confirm func(readAt time.Time) // is called after each read that found the list last applied
}

// FollowWorkers reads a worker list file now and after each change, and calls the handler. It returns when stop is
// closed.
func FollowWorkers(path string, stop <-chan struct{}, handler WorkerListHandler) {
	apply := func(raw []byte) error {
		list, err := ParseWorkers(path, raw)
		if err == nil {
			handler.Apply(list)
		}
		return err
	}
	FollowFile(path, stop, FileHandler{Apply: apply, Reject: handler.Reject, Confirm: handler.Confirm})
}
