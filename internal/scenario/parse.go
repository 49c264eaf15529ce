package scenario

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"
)

// Upper limits for the values in a scenario file.
const (
	maxLengthSeconds  = 600
	maxRouters        = 100
	maxWorkers        = 500
	maxCallsPerSecond = 20000
)

//go:embed scenarios/*.json
var embedded embed.FS

// Names returns the names of the embedded scenarios.
func Names() []string {
	files, err := fs.Glob(embedded, "scenarios/*.json")
	if err != nil {
		return nil
	}
	for i, file := range files {
		files[i] = strings.TrimSuffix(path.Base(file), ".json")
	}
	return files
}

// Load reads the embedded scenario of a name or, if there is none, the file of that name.
func Load(name string) (*Scenario, error) {
	if raw, err := embedded.ReadFile("scenarios/" + name + ".json"); err == nil {
		return Parse(name, raw)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w; scenarios that come with the program: %s", err, strings.Join(Names(), ", "))
	}
	return Parse(name, raw)
}

// Parse parses and validates a scenario file. Errors start with name and give the line of a JSON error or the key of an
// invalid value.
func Parse(name string, raw []byte) (*Scenario, error) {
	var s Scenario
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		offset := decoder.InputOffset()
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = syntax.Offset
		}
		line := 1 + bytes.Count(raw[:min(int(offset), len(raw))], []byte("\n"))
		return nil, fmt.Errorf("%s: line %d: %w", name, line, err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &s, nil
}

func (s *Scenario) validate() error {
	switch {
	case s.Length <= 0 || s.Length > maxLengthSeconds:
		return fmt.Errorf("length_s: %v is not within 0 to %d", s.Length, maxLengthSeconds)
	case s.Routers < 1 || s.Routers > maxRouters:
		return fmt.Errorf("routers: %d is not within 1 to %d", s.Routers, maxRouters)
	case s.Fleet.Workers < 1 || s.Fleet.Workers > maxWorkers:
		return fmt.Errorf("fleet.workers: %d is not within 1 to %d", s.Fleet.Workers, maxWorkers)
	case len(s.Fleet.Kinds) == 0 || s.Fleet.CellSize < 1 || s.Fleet.Zones < 1:
		return errors.New("fleet: needs kinds, cell_size and zones")
	case len(s.Classes) == 0:
		return errors.New("classes: needs at least one class")
	case s.Traffic.CallsPerSecond <= 0 || s.Traffic.CallsPerSecond > maxCallsPerSecond:
		return fmt.Errorf("traffic.calls_per_s: %v is not within 0 to %d", s.Traffic.CallsPerSecond, maxCallsPerSecond)
	}
	for i, c := range s.Classes {
		if c.ModelCount < 1 || c.TrafficShare <= 0 || c.MeanWorkMS <= 0 || c.Deadline <= 0 || c.ConcurrencyPerInstance < 1 {
			return fmt.Errorf("classes[%d]: needs models, share, work_ms, deadline_s and lanes", i)
		}
	}
	for i := range s.Faults {
		if err := s.validateFault(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) validateFault(i int) error {
	f := s.Faults[i]
	if _, ok := faultKinds[f.Kind]; !ok {
		return fmt.Errorf("troubles[%d].kind: %q is not one of %s", i, f.Kind, strings.Join(FaultKindNames(), ", "))
	}
	known := f.Class == "" || slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == f.Class })
	if !known {
		return fmt.Errorf("troubles[%d].class: %q is not one of the classes", i, f.Class)
	}
	if f.Start < 0 || f.Length < 0 || f.Share < 0 || f.Share > 1 {
		return fmt.Errorf("troubles[%d]: at_s or for_s is below 0, or part is not within 0 to 1", i)
	}
	return nil
}
