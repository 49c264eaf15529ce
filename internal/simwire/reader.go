// Package simwire reads and writes the line protocol between a simulator and the dispatchers that it hosts. Only this
// package knows the names and units of the protocol. It makes no decisions.
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

// readBufferSize is enough for a whole batch in most simulations.
const readBufferSize = 1 << 20

// InstanceBatch holds events of one instance within a batch. An instance that starts or stops within the batch can have
// several InstanceBatches.
type InstanceBatch struct {
	Instance int64
	Start    *InstanceStart // not nil if the instance starts or restarts before the events
	Stop     bool           // the instance stops
	Events   []dispatch.Event
}

// InstanceStart holds the parameters of an instance that starts.
type InstanceStart struct {
	Seed     uint64
	Settings dispatch.Settings
}

// Batch is a batch of events that all occur at the same time.
type Batch struct {
	Now    time.Duration
	Serial string // the reply repeats it
	Parts  []InstanceBatch
}

// Reader reads batches. It keeps all endpoint lists read so far, as later batches can refer to them.
type Reader struct {
	in            *bufio.Reader
	line          int // number of the last line read
	endpointLists map[int64][]dispatch.Endpoint
}

// NewReader returns a Reader that reads batches from r.
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

// errorf returns an error that includes the line number.
func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %w", r.line, fmt.Errorf(format, args...))
}

// Next reads one batch. It returns io.EOF at the end of the input. The error for invalid input includes the line
// number.
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
	currentPart := map[int64]int{} // by instance: index of the part that its next event is added to
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
			err = r.readPart(&b, currentPart, words)
		}
		if err != nil {
			return Batch{}, err
		}
	}
}

// readHeader reads the first line of a batch.
func (r *Reader) readHeader(words []string) (Batch, error) {
	if words[0] != "MARK" {
		return Batch{}, r.errorf("expected MARK, found %q", words[0])
	}
	f := parseFields(words[1:])
	b := Batch{Now: f.duration("clock", true), Serial: f.text("serial", true)}
	if b.Serial != "" {
		f.integer("serial", true)
	}
	if f.err != nil {
		return Batch{}, r.errorf("MARK: %w", f.err)
	}
	return b, nil
}

// readPart reads the start, the stop or an event of an instance and adds it to the batch. It skips lines with an
// unknown name.
func (r *Reader) readPart(b *Batch, currentPart map[int64]int, words []string) error {
	f := parseFields(words[1:])
	switch words[0] {
	case "PEER_DATA":
		return nil
	case "NEW_INSTANCE":
		instance := f.integer("router", true)
		start := &InstanceStart{Seed: uint64(f.integer("init_seed", true)), Settings: readSettings(f)}
		b.begin(currentPart, InstanceBatch{Instance: instance, Start: start})
	case "EXIT":
		b.begin(currentPart, InstanceBatch{Instance: f.integer("router", true), Stop: true})
	default:
		event, known := parseEvent(words[0], f)
		if !known {
			return nil
		}
		instance := f.integer("router", true)
		if update, ok := event.(dispatch.EndpointUpdate); ok && !update.SubscriptionLost && f.err == nil {
			list, found := r.endpointLists[f.integer("set_id", true)]
			if !found && f.err == nil {
				return r.errorf("ROSTER_CHANGE: no list of that set_id")
			}
			update.Endpoints = list
			event = update
		}
		b.add(currentPart, instance, event)
	}
	if f.err != nil {
		return r.errorf("%s: %w", words[0], f.err)
	}
	return nil
}

// begin adds a part to the batch. The instance's next events are added to this part.
func (b *Batch) begin(currentPart map[int64]int, part InstanceBatch) {
	currentPart[part.Instance] = len(b.Parts)
	b.Parts = append(b.Parts, part)
}

// add appends an event to the current part of its instance.
func (b *Batch) add(currentPart map[int64]int, instance int64, event dispatch.Event) {
	if _, ok := currentPart[instance]; !ok {
		b.begin(currentPart, InstanceBatch{Instance: instance})
	}
	part := &b.Parts[currentPart[instance]]
	part.Events = append(part.Events, event)
}

// readEndpointList reads an endpoint list and stores it under its set_id. Each endpoint has a line of its own.
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
