// Command simadapter runs dispatchers behind the line protocol, from standard input to standard output.
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

// run answers every batch of in until it ends.
func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	live := map[int64]*dispatch.Dispatcher{}
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		ended := map[int64]int{} // the last part of an instance that a kill makes void
		for i, p := range b.Parts {
			if p.Stop {
				ended[p.Router] = i
			}
		}
		for i, p := range b.Parts {
			if last, ok := ended[p.Router]; ok && i <= last {
				delete(live, p.Router)
				continue
			}
			if p.Start != nil {
				d, err := dispatch.New(p.Start.Settings, p.Start.Seed)
				if err != nil {
					return fmt.Errorf("batch %s: instance %d: %w", b.Serial, p.Router, err)
				}
				live[p.Router] = d
			}
			d := live[p.Router]
			if d == nil {
				return fmt.Errorf("batch %s: event for instance %d, which has not begun", b.Serial, p.Router)
			}
			w.Actions(p.Router, d.Step(b.Clock, p.Events))
		}
		if err := w.End(b.Serial); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}
