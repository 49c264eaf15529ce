// Command simadapter runs dispatchers for a simulator. It reads events from standard input and writes the dispatchers'
// actions to standard output, in the simulator's line protocol.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run processes the batches in the input until it ends, and writes a reply to each.
func run(in io.Reader, out io.Writer) error {
	reader, writer := simwire.NewReader(in), simwire.NewWriter(out)
	dispatchers := map[int64]*dispatch.Dispatcher{}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := processBatch(batch, dispatchers, writer); err != nil {
			return err
		}
		if err := writer.End(batch.Serial); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}

// processBatch passes each part of a batch to the dispatcher of its instance and writes the dispatcher's actions.
func processBatch(batch simwire.Batch, dispatchers map[int64]*dispatch.Dispatcher, writer *simwire.Writer) error {
	lastStop := map[int64]int{} // by instance: index of its last stop; the parts before it are dropped
	for i, part := range batch.Parts {
		if part.Stop {
			lastStop[part.Instance] = i
		}
	}
	for i, part := range batch.Parts {
		if stop, ok := lastStop[part.Instance]; ok && i <= stop {
			delete(dispatchers, part.Instance)
			continue
		}
		if part.Start != nil {
			d, err := dispatch.New(part.Start.Settings, part.Start.Seed)
			if err != nil {
				return fmt.Errorf("batch %s: instance %d: %w", batch.Serial, part.Instance, err)
			}
			dispatchers[part.Instance] = d
		}
		d := dispatchers[part.Instance]
		if d == nil {
			return fmt.Errorf("batch %s: event for instance %d, which has not started", batch.Serial, part.Instance)
		}
		writer.Actions(part.Instance, d.Step(batch.Now, part.Events))
	}
	return nil
}
