// Package simwire reads and writes the line protocol between a simulator and the dispatchers that it hosts. It
// translates the protocol's words and units, which stand only here, and decides nothing.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// readBufferSize holds a whole batch of most simulations.
const readBufferSize = 1 << 20

// InstanceBatch is a run of one instance's events within a batch.
type InstanceBatch struct {
	Instance int64
	Start    *Start // not nil: a new life of the instance begins
	Stop     bool   // the instance ends
	Events   []dispatch.Event
}

// Start is what an instance is told when it begins.
type Start struct {
	Seed     uint64
	Settings dispatch.Settings
}

// Batch is one batch of events, all of one moment.
type Batch struct {
	Clock  time.Duration
	Serial string // to be repeated in the reply
	Parts  []InstanceBatch
}

// Reader reads batches. It keeps the endpoint lists that batches refer to.
type Reader struct {
	in            *bufio.Reader
	line          int // number of the last line read
	endpointLists map[int64][]dispatch.Endpoint
}

// NewReader returns a Reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readBufferSize), endpointLists: map[int64][]dispatch.Endpoint{}}
}

// nextLine returns the words of the next line that is not empty.
func (r *Reader) nextLine() ([]string, error) {
	for {
		s, err := r.in.ReadString('\n')
		if s == "" && err != nil {
			return nil, err
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		r.line++
		if s = strings.TrimRight(s, "\r\n"); s != "" {
			return strings.Split(s, " "), nil
		}
	}
}

// errorf returns an error that names the line.
func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %w", r.line, fmt.Errorf(format, args...))
}

// Next reads one batch. It returns io.EOF at the end of the input, and an error that names the line where the input
// makes no sense.
func (r *Reader) Next() (Batch, error) {
	words, err := r.nextLine()
	if errors.Is(err, io.EOF) {
		return Batch{}, io.EOF
	}
	if err != nil {
		return Batch{}, r.errorf("read: %w", err)
	}
	b, err := r.readHeader(words)
	if err != nil {
		return Batch{}, err
	}
	open := map[int64]int{} // by instance: the part that its next event joins
	for {
		words, err := r.nextLine()
		if errors.Is(err, io.EOF) {
			return Batch{}, r.errorf("input ends inside a batch")
		}
		if err != nil {
			return Batch{}, r.errorf("read: %w", err)
		}
		switch words[0] {
		case "FLUSH":
			return b, nil
		case "MARK":
			return Batch{}, r.errorf("MARK inside a batch")
		case "CENSUS":
			err = r.readEndpointList(words[1:])
		default:
			err = r.readPart(&b, open, words)
		}
		if err != nil {
			return Batch{}, err
		}
	}
}

// readHeader reads the line that begins a batch.
func (r *Reader) readHeader(words []string) (Batch, error) {
	if words[0] != "MARK" {
		return Batch{}, r.errorf("expected MARK, found %q", words[0])
	}
	f := parseFields(words[1:])
	b := Batch{Clock: f.duration("clock", true), Serial: f.text("serial", true)}
	if b.Serial != "" {
		f.integer("serial", true)
	}
	if f.err != nil {
		return Batch{}, r.errorf("MARK: %w", f.err)
	}
	return b, nil
}

// readPart reads the start, the stop or an event of an instance and adds it to the batch. Lines with an unknown name are
// skipped.
func (r *Reader) readPart(b *Batch, open map[int64]int, words []string) error {
	f := parseFields(words[1:])
	switch words[0] {
	case "PEER_DATA":
		return nil
	case "NEW_INSTANCE":
		instance := f.integer("router", true)
		start := &Start{Seed: uint64(f.integer("init_seed", true)), Settings: readSettings(f)}
		b.begin(open, InstanceBatch{Instance: instance, Start: start})
	case "EXIT":
		b.begin(open, InstanceBatch{Instance: f.integer("router", true), Stop: true})
	default:
		event, known := parseEvent(words[0], f)
		if !known {
			return nil
		}
		instance := f.integer("router", true)
		if update, ok := event.(dispatch.EndpointUpdate); ok && !update.SubscriptionLost && f.err == nil {
			list, listed := r.endpointLists[f.integer("set_id", true)]
			if !listed && f.err == nil {
				return r.errorf("ROSTER_CHANGE: no list of that set_id")
			}
			update.Endpoints = list
			event = update
		}
		b.add(open, instance, event)
	}
	if f.err != nil {
		return r.errorf("%s: %w", words[0], f.err)
	}
	return nil
}

// begin adds a part that the instance's next events join.
func (b *Batch) begin(open map[int64]int, part InstanceBatch) {
	open[part.Instance] = len(b.Parts)
	b.Parts = append(b.Parts, part)
}

// add appends an event to its instance's part.
func (b *Batch) add(open map[int64]int, instance int64, event dispatch.Event) {
	if _, ok := open[instance]; !ok {
		b.begin(open, InstanceBatch{Instance: instance})
	}
	part := &b.Parts[open[instance]]
	part.Events = append(part.Events, event)
}

// readEndpointList reads a numbered list of endpoints, one line each.
func (r *Reader) readEndpointList(words []string) error {
	f := parseFields(words)
	id, n := f.integer("set_id", true), f.integer("elements", true)
	if f.err == nil && n < 0 {
		f.err = fmt.Errorf("elements=%d is negative", n)
	}
	if f.err != nil {
		return r.errorf("CENSUS: %w", f.err)
	}
	list := []dispatch.Endpoint{}
	for ; n > 0; n-- {
		words, err := r.nextLine()
		if err != nil {
			return r.errorf("input ends inside a CENSUS")
		}
		if words[0] != "M" {
			return r.errorf("expected M, found %q", words[0])
		}
		f := parseFields(words[1:])
		e := parseEndpoint(f)
		if f.err != nil {
			return r.errorf("M: %w", f.err)
		}
		list = append(list, e)
	}
	r.endpointLists[id] = list
	return nil
}
