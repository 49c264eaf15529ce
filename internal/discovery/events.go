// Package discovery follows the platform's command channel: numbered events that change the list of workers, asked for
// by long polls. Events are applied whole, in order and once; whatever breaks, the next question goes on from the
// last event that was applied.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

// Batch is what one answer of the channel brings.
type Batch struct {
	Cursor *int64  `json:"cursor"`
	Cmds   []Event `json:"cmds"`
}

// Event is one event. Kinds of event that concern no list of workers count and change nothing.
type Event struct {
	Cursor *int64 `json:"cursor"`
	Nodes  *Nodes `json:"nodes"`
}

// Nodes is a list of workers, or what changed in it.
type Nodes struct {
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one worker as the channel has it.
type Member struct {
	ID      string  `json:"id"`
	Address string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	State   string  `json:"phase"`
	Weight  float64 `json:"size"`
	Started int64   `json:"up_since_ms"` // Unix milliseconds; 0: long ago
}

var states = map[string]dispatch.EndpointState{"active": dispatch.EndpointActive, "leaving": dispatch.EndpointDraining, "left": dispatch.EndpointRemoved}

// maxWorkers bounds the list.
const maxWorkers = 1 << 16

// Table is the list as the events so far leave it.
type Table struct {
	cursor  int64
	begun   bool
	members map[string]Member
}

// NewTable returns a Table before the first event.
func NewTable() *Table { return &Table{members: map[string]Member{}} }

// Cursor is the number of the last event applied.
func (t *Table) Cursor() int64 { return t.cursor }

// ErrGap tells that events between the last one applied and those that came are missing.
var ErrGap = errors.New("feed: events are missing")

// Parse reads an answer.
func Parse(raw []byte) (Batch, error) {
	var b Batch
	if err := json.Unmarshal(raw, &b); err != nil {
		return b, fmt.Errorf("feed: %w", err)
	}
	if b.Cursor == nil {
		return b, errors.New("feed: no cursor")
	}
	for i, e := range b.Cmds {
		switch {
		case e.Cursor == nil || *e.Cursor < 1:
			return b, fmt.Errorf("feed: event %d of the answer has no number", i)
		case i > 0 && *e.Cursor <= *b.Cmds[i-1].Cursor:
			return b, fmt.Errorf("feed: event %d follows %d", *e.Cursor, *b.Cmds[i-1].Cursor)
		}
		if e.Nodes == nil {
			continue
		}
		for _, m := range e.Nodes.Members {
			if _, ok := states[m.State]; !ok || m.ID == "" || len(m.ID) > 256 {
				return b, fmt.Errorf("feed: event %d: member %.40q in state %.20q", *e.Cursor, m.ID, m.State)
			}
			if _, _, err := net.SplitHostPort(m.Address); err != nil && m.State != "left" {
				return b, fmt.Errorf("feed: event %d: member %.40q: %w", *e.Cursor, m.ID, err)
			}
		}
	}
	return b, nil
}

// Apply takes the events that are new, all or none; changed tells whether the list is another now.
func (t *Table) Apply(b Batch) (changed bool, err error) {
	next := t.cursor
	for _, e := range b.Cmds {
		n := *e.Cursor
		if n <= t.cursor {
			continue
		}
		whole := e.Nodes != nil && e.Nodes.Complete
		if n != next+1 && !whole && !(next == 0 && !t.begun) {
			return false, fmt.Errorf("%w: %d follows %d", ErrGap, n, next)
		}
		next = n
	}
	if len(b.Cmds) == 0 || next == t.cursor {
		return false, nil
	}
	for _, e := range b.Cmds {
		if *e.Cursor <= t.cursor || e.Nodes == nil {
			continue
		}
		changed = true
		if e.Nodes.Complete {
			clear(t.members)
		}
		for _, m := range e.Nodes.Members {
			if m.State == "left" {
				delete(t.members, m.ID)
			} else if len(t.members) < maxWorkers {
				t.members[m.ID] = m
			}
		}
	}
	t.cursor, t.begun = next, true
	return changed, nil
}

// Workers is the list; at gives the router's time for a moment.
func (t *Table) Workers(at func(time.Time) time.Duration) []endpoints.Worker {
	out := make([]endpoints.Worker, 0, len(t.members))
	for _, m := range t.members {
		w := endpoints.Worker{Address: m.Address, Endpoint: dispatch.Endpoint{ID: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell,
			State: states[m.State], Weight: m.Weight}}
		if m.Started > 0 {
			w.StartedAt = at(time.UnixMilli(m.Started))
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b endpoints.Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
