// Package scenario plays scripted days through real loopback sockets: a fleet of stand-in workers, routers,
// clients and a list, with troubles at set times. What clients, workers and list recorded is then held
// against the five rules.
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
	"time"
)

// Seconds is a time in seconds, as scripts give it.
type Seconds float64

// D converts it.
func (s Seconds) D() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Script is one day.
type Script struct {
	Name    string    `json:"name"`
	About   string    `json:"about"`
	Seed    uint64    `json:"seed"`
	Length  Seconds   `json:"length_s"`
	Routers int       `json:"routers"`
	Fleet   Fleet     `json:"fleet"`
	Store   Store     `json:"store"`
	Classes []Class   `json:"classes"`
	Traffic Traffic   `json:"traffic"`
	List    List      `json:"list"`
	Rules   Rules     `json:"rules"`
	Gossip  *Gossip   `json:"gossip,omitempty"` // nil: the routers share nothing
	Trouble []Trouble `json:"troubles"`
}

// Fleet is the workers.
type Fleet struct {
	Workers     int     `json:"workers"`
	CellSize    int     `json:"cell_size"`
	Zones       int     `json:"zones"`
	Kinds       []Kind  `json:"kinds"` // dealt out in turn
	Queue       int     `json:"queue"`
	LoadsAtOnce int     `json:"loads_at_once"`
	IdleKeep    Seconds `json:"idle_keep_s"`
	OnMiss      string  `json:"on_miss"` // "load" or "refuse"
	Grows       bool    `json:"grows_copies"`
	StopsWork   bool    `json:"stops_work"`
	Reports     string  `json:"reports"` // "answers" or "probes"
	TellsWarm   bool    `json:"tells_warm"`
}

// Kind is a kind of worker.
type Kind struct {
	Name     string  `json:"name"`
	Cores    int     `json:"cores"`
	Speed    float64 `json:"speed"`
	MemoryMB float64 `json:"memory_mb"`
}

// Store is the shared store of plug-ins.
type Store struct {
	Rate  float64 `json:"fetches_per_s"`
	Limit int     `json:"in_hand"`
}

// Class is a class of calls and its models.
type Class struct {
	Name      string  `json:"name"`
	Effect    string  `json:"effect"`
	Scope     string  `json:"scope"`
	Window    Seconds `json:"window_s"`
	Aim       Seconds `json:"aim_s"`
	Deadline  Seconds `json:"deadline_s"`
	Worth     float64 `json:"worth"`
	LateShare float64 `json:"late_share"`
	Share     float64 `json:"share"` // of the calls
	Models    int     `json:"models"`
	MemoryMB  float64 `json:"memory_mb"`
	Lanes     int     `json:"lanes"`
	Load      Seconds `json:"load_s"`
	WorkMS    float64 `json:"work_ms"`
	WorkSigma float64 `json:"work_sigma"`
	Streamed  float64 `json:"streamed"` // share of its calls
	Messages  int     `json:"messages"`
	Bytes     int     `json:"bytes"`
}

// Traffic is how calls come.
type Traffic struct {
	Rate     float64 `json:"calls_per_s"` // over all routers
	Zipf     float64 `json:"zipf"`        // exponent of the models' popularity
	Retries  int     `json:"retries"`
	Backoff  Seconds `json:"backoff_s"`
	Hints    bool    `json:"hints"`
	TryShare float64 `json:"try_share"` // a try is given up after this share of the class's deadline
}

// List is how the list of workers comes.
type List struct {
	Delay Seconds `json:"delay_s"`
}

// Rules are the figures of the rules.
type Rules struct {
	DrainGrace   Seconds `json:"drain_grace_s"`
	ColdShare    float64 `json:"cold_share"`
	ColdFor      Seconds `json:"cold_for_s"`
	FallMultiple float64 `json:"fall_multiple"`
	FallSpan     Seconds `json:"fall_span_s"`
	LoadSpan     Seconds `json:"load_span_s"`
	LoadFree     float64 `json:"load_free"`
	LoadShare    float64 `json:"load_share"`
}

// Gossip is word between the routers, and who spoils it.
type Gossip struct {
	Forgers int     `json:"forgers"`        // strangers that forge packets of others,
	Forged  float64 `json:"forged_per_s"`   // so many a second each
	Liars   int     `json:"liars"`          // admitted members that call every worker silent
	Mute    int     `json:"mute"`           // routers whose word stops coming
	MuteAt  Seconds `json:"mute_at_s"`      // from then on
	Bytes   float64 `json:"bytes_per_s"`    // each router's cap; 0: the preset's
	Loss    float64 `json:"loss"`           // share of the datagrams that is lost
	ExchKey Seconds `json:"key_exchange_s"` // a router's key is exchanged then; 0: none
}

// Trouble is something that goes wrong.
type Trouble struct {
	Kind  string  `json:"kind"`
	At    Seconds `json:"at_s"`
	For   Seconds `json:"for_s"`
	Part  float64 `json:"part"`  // of the workers, routers, models or calls concerned
	Size  float64 `json:"size"`  // how strong
	Class string  `json:"class"` // concerned; empty: all, or the first
}

// Kinds of trouble, with what their part and size mean.
var Kinds = map[string]string{
	"balancer_roll":   "part of the routers are killed and started anew, one after another within the time",
	"burst":           "traffic is size times the usual",
	"class_fail":      "part of the workers answer the class with errors",
	"discovery_stale": "the list comes size seconds later than usual",
	"flush":           "part of the models are released anew: their copies and images go void",
	"handshake_slow":  "new connections to part of the workers wait size seconds before their first call",
	"hang":            "part of the workers take calls and answer none",
	"heavy_tail":      "part of the class's calls are size times the usual work",
	"hot_key":         "part of the calls go to one model of each class that was not seen before",
	"neighbour":       "other programs crowd part of the workers: work takes size times as long",
	"pauses":          "part of the workers stand still for size seconds, every second",
	"preempt":         "part of the workers are listed as draining and die size seconds later; replacements start cold",
	"shift":           "part of the traffic moves to one router, for good",
	"slow":            "part of the workers run size times slower",
	"throttle":        "part of the workers turn the class away above size calls a second",
	"vanish":          "part of the workers die without a word, and start again cold when the time is over",
	"mid_stream":      "part of the workers die at the class's next streamed answer, after size messages",
	"goaway":          "part of the workers say that they drain, on their connections only, for the time",
	"store_stop":      "the store stands still",
}

// Parse reads a script; name stands in errors.
func Parse(name string, raw []byte) (*Script, error) {
	var s Script
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		at := dec.InputOffset()
		var se *json.SyntaxError
		if errors.As(err, &se) {
			at = se.Offset
		}
		line := 1 + bytes.Count(raw[:min(int(at), len(raw))], []byte("\n"))
		return nil, fmt.Errorf("%s: line %d: %w", name, line, err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &s, nil
}

func (s *Script) check() error {
	switch {
	case s.Length <= 0 || s.Length > 600:
		return fmt.Errorf("length_s: %v is not within 0 to 600", s.Length)
	case s.Routers < 1 || s.Routers > 100:
		return fmt.Errorf("routers: %d is not within 1 to 100", s.Routers)
	case s.Fleet.Workers < 1 || s.Fleet.Workers > 500:
		return fmt.Errorf("fleet.workers: %d is not within 1 to 500", s.Fleet.Workers)
	case len(s.Fleet.Kinds) == 0 || s.Fleet.CellSize < 1 || s.Fleet.Zones < 1:
		return fmt.Errorf("fleet: needs kinds, cell_size and zones")
	case len(s.Classes) == 0:
		return fmt.Errorf("classes: none")
	case s.Traffic.Rate <= 0 || s.Traffic.Rate > 20000:
		return fmt.Errorf("traffic.calls_per_s: %v is not within 0 to 20000", s.Traffic.Rate)
	}
	for i, c := range s.Classes {
		if c.Models < 1 || c.Share <= 0 || c.WorkMS <= 0 || c.Deadline <= 0 || c.Lanes < 1 {
			return fmt.Errorf("classes[%d]: needs models, share, work_ms, deadline_s and lanes", i)
		}
	}
	for i, t := range s.Trouble {
		if _, ok := Kinds[t.Kind]; !ok {
			return fmt.Errorf("troubles[%d].kind: %q is none of %s", i, t.Kind, strings.Join(KindNames(), ", "))
		}
		known := t.Class == "" || slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == t.Class })
		if !known {
			return fmt.Errorf("troubles[%d].class: %q is none of the classes", i, t.Class)
		}
		if t.At < 0 || t.For < 0 || t.Part < 0 || t.Part > 1 {
			return fmt.Errorf("troubles[%d]: times below 0, or part not within 0 to 1", i)
		}
	}
	return nil
}

// KindNames lists the kinds of trouble.
func KindNames() []string {
	names := make([]string, 0, len(Kinds))
	for k := range Kinds {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

//go:embed scenarios/*.json
var built embed.FS

// Names lists the days that come with the program.
func Names() []string {
	list, err := fs.Glob(built, "scenarios/*.json")
	if err != nil {
		return nil
	}
	for i, n := range list {
		list[i] = strings.TrimSuffix(path.Base(n), ".json")
	}
	return list
}

// Load reads a day by the name of one that comes with the program, or from a file.
func Load(name string) (*Script, error) {
	if raw, err := built.ReadFile("scenarios/" + name + ".json"); err == nil {
		return Parse(name, raw)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w; days that come with the program: %s", err, strings.Join(Names(), ", "))
	}
	return Parse(name, raw)
}
