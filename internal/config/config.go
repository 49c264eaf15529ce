// Package config reads the gateway's settings and the list of workers: JSON, checked against a schema and
// then for what a schema can't say. Every error names the path to the wrong value.
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/server"
)

//go:embed schema.json
var gatewaySchema []byte

//go:embed workers.schema.json
var workersSchema []byte

// Millis is a time in milliseconds, as the files give it.
type Millis float64

// Duration converts it.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Gateway is the settings of one gateway. schema.json says what each means.
type Gateway struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Zone    string `json:"zone"`
	Seed    uint64 `json:"seed"`
	Routers int    `json:"routers"`
	Workers struct {
		File           string `json:"file"`
		ConnectTimeout Millis `json:"connect_timeout_ms"`
		Connections    int    `json:"connections"`
		AskAfter       Millis `json:"ask_after_ms"`
		ProbeTimeout   Millis `json:"probe_timeout_ms"`
	} `json:"workers"`
	Kinds []struct {
		Name     string  `json:"name"`
		MemoryMB float64 `json:"memory_mb"`
	} `json:"kinds"`
	Classes []Class `json:"classes"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
		Share float64 `json:"share"`
	} `json:"tenants"`
	Models       map[string]Model `json:"models"`
	DefaultModel *Model           `json:"default_model"`
	Loading      struct {
		OnMiss       string  `json:"on_miss"`
		MayOrder     bool    `json:"may_order"`
		TellsWarm    bool    `json:"tells_warm"`
		IdleKeep     Millis  `json:"idle_keep_ms"`
		OrderTimeout Millis  `json:"order_timeout_ms"`
		RationSpan   Millis  `json:"ration_span_ms"`
		RationFree   float64 `json:"ration_free"`
		RationShare  float64 `json:"ration_share"`
	} `json:"loading"`
	Reports string `json:"reports"`
	Limits  struct {
		Attempts     int    `json:"attempts"`
		SecondCopies bool   `json:"second_copies"`
		Cancel       bool   `json:"cancel"`
		Probe        bool   `json:"probe"`
		RetryAfter   Millis `json:"retry_after_ms"`
		AnswerMargin Millis `json:"answer_margin_ms"`
		MessageBytes int    `json:"message_bytes"`
		Streams      uint32 `json:"streams"`
		StreamWindow uint32 `json:"stream_window_bytes"`
	} `json:"limits"`
	Safety struct {
		DrainGrace   Millis  `json:"drain_grace_ms"`
		ColdShare    float64 `json:"cold_share"`
		ColdFor      Millis  `json:"cold_for_ms"`
		FallMultiple float64 `json:"fall_multiple"`
		FallSpan     Millis  `json:"fall_span_ms"`
	} `json:"safety"`
	Gossip  *Gossip `json:"gossip"` // nil: none
	Control struct {
		Socket string `json:"socket"`
	} `json:"control"`
	Log struct {
		Level  string `json:"level"`
		Format string `json:"format"`
	} `json:"log"`
}

// Class is a class of calls.
type Class struct {
	Name      string  `json:"name"`
	Aim       Millis  `json:"aim_ms"`
	Deadline  Millis  `json:"deadline_ms"`
	Worth     float64 `json:"worth"`
	LateShare float64 `json:"late_share"`
	Effect    string  `json:"effect"`
	Scope     string  `json:"scope,omitempty"`
	Window    Millis  `json:"window_ms"`
}

// Model is a model's settings.
type Model struct {
	Class    string   `json:"class"`
	MemoryMB float64  `json:"memory_mb"`
	Lanes    int      `json:"lanes"`
	Load     Millis   `json:"load_ms"`
	Work     Millis   `json:"work_ms"`
	Versions []string `json:"versions,omitempty"`
}

// Problem is one thing wrong in a file.
type Problem struct {
	Path string // JSON pointer to the value
	Text string
}

func (p Problem) String() string {
	if p.Path == "" {
		return "/: " + p.Text
	}
	return p.Path + ": " + p.Text
}

// InvalidError lists everything that is wrong in a file.
type InvalidError struct {
	File     string
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+": "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Defaults are the settings that hold where a file says nothing.
func Defaults() Gateway {
	var g Gateway
	g.Name, g.Routers = "router", 1
	g.Workers.ConnectTimeout, g.Workers.Connections, g.Workers.AskAfter, g.Workers.ProbeTimeout = 250, 4, 5000, 1000
	g.Loading.OnMiss, g.Loading.MayOrder, g.Loading.IdleKeep, g.Loading.OrderTimeout = "load", true, 10000, 10000
	g.Reports = "answers"
	g.Limits.Attempts, g.Limits.Cancel, g.Limits.Probe = 5, true, true
	g.Limits.RetryAfter, g.Limits.AnswerMargin, g.Limits.MessageBytes = 1000, 10, 16<<20
	g.Limits.Streams, g.Limits.StreamWindow = 1000, 128<<10
	g.Safety.DrainGrace, g.Safety.ColdShare, g.Safety.ColdFor = 250, 0.2, 15000
	g.Safety.FallMultiple, g.Safety.FallSpan = 2.5, 1500
	g.Log.Level, g.Log.Format = "info", "text"
	return g
}

// Load reads and checks a gateway's settings. A relative path in them starts at the file's folder.
func Load(path string) (*Gateway, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	g, err := Parse(path, raw)
	if err != nil {
		return nil, err
	}
	paths := []*string{&g.Workers.File, &g.Control.Socket}
	if g.Gossip != nil {
		paths = append(paths, &g.Gossip.Members, &g.Gossip.Key)
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return g, nil
}

// Parse checks settings and fills in defaults; name stands in errors.
func Parse(name string, raw []byte) (*Gateway, error) {
	if err := validate(name, raw, gatewaySchema); err != nil {
		return nil, err
	}
	g := Defaults()
	if err := json.Unmarshal(raw, &g); err != nil {
		return nil, &InvalidError{name, []Problem{{"", err.Error()}}}
	}
	if g.Gossip != nil && g.Gossip.LookTimeout == 0 {
		g.Gossip.LookTimeout = 400
	}
	if p := g.check(); len(p) > 0 {
		return nil, &InvalidError{name, p}
	}
	return &g, nil
}

// validate holds raw against a schema.
func validate(name string, raw, schema []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return &InvalidError{name, []Problem{{"", place(raw, err)}}}
	}
	s, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return err
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	if err := c.AddResource("schema.json", s); err != nil {
		return err
	}
	compiled, err := c.Compile("schema.json")
	if err != nil {
		return err
	}
	var ve *jsonschema.ValidationError
	if err := compiled.Validate(doc); errors.As(err, &ve) {
		out := &InvalidError{File: name}
		leaves(ve, out)
		return out
	} else if err != nil {
		return err
	}
	return nil
}

// leaves collects the innermost errors, which name the values at fault.
func leaves(e *jsonschema.ValidationError, out *InvalidError) {
	if len(e.Causes) > 0 {
		for _, c := range e.Causes {
			leaves(c, out)
		}
		return
	}
	path := ""
	for _, p := range e.InstanceLocation {
		path += "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(p)
	}
	if k, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, p := range k.Properties {
			out.Problems = append(out.Problems, Problem{path + "/" + p, "no such setting"})
		}
		return
	}
	out.Problems = append(out.Problems, Problem{path,
		e.ErrorKind.LocalizedString(message.NewPrinter(language.English))})
}

// place adds the line to an error of JSON syntax.
func place(raw []byte, err error) string {
	var se *json.SyntaxError
	switch {
	case errors.As(err, &se):
		return fmt.Sprintf("line %d: %v", 1+bytes.Count(raw[:min(int(se.Offset), len(raw))], []byte("\n")), err)
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
		return fmt.Sprintf("line %d: the file ends within a value", 1+bytes.Count(raw, []byte("\n")))
	}
	return err.Error()
}

// check finds what the schema can't say.
func (g *Gateway) check() (out []Problem) {
	bad := func(path, format string, args ...any) {
		out = append(out, Problem{path, fmt.Sprintf(format, args...)})
	}
	if _, _, err := net.SplitHostPort(g.Listen); err != nil {
		bad("/listen", "%v", err)
	}
	classes := map[string]bool{}
	for i, c := range g.Classes {
		at := fmt.Sprintf("/classes/%d", i)
		if classes[c.Name] {
			bad(at+"/name", "%q is named twice", c.Name)
		}
		classes[c.Name] = true
		if c.Aim > c.Deadline || c.Deadline == 0 {
			bad(at+"/deadline_ms", "is 0 or shorter than the aim")
		}
		if c.Effect == "keyed" && (c.Window == 0 || c.Scope == "") {
			bad(at, "a keyed class needs window_ms and scope")
		}
	}
	for name, m := range g.Models {
		if !classes[m.Class] {
			bad("/models/"+name+"/class", "%q is not among /classes", m.Class)
		}
	}
	if g.DefaultModel != nil && !classes[g.DefaultModel.Class] {
		bad("/default_model/class", "%q is not among /classes", g.DefaultModel.Class)
	}
	if len(g.Models) == 0 && g.DefaultModel == nil {
		bad("", "neither models nor default_model is set: no call could be taken")
	}
	if g.Gossip != nil {
		g.Gossip.check(bad)
	}
	kinds := map[string]bool{}
	for i, k := range g.Kinds {
		if kinds[k.Name] {
			bad(fmt.Sprintf("/kinds/%d/name", i), "%q is named twice", k.Name)
		}
		kinds[k.Name] = true
	}
	return out
}

// Settings are the module's.
func (g *Gateway) Settings() dispatch.Settings {
	s := dispatch.Settings{Zone: g.Zone, Routers: g.Routers, WorkersLoadOnMiss: g.Loading.OnMiss == "load",
		LoadCommandsAllowed: g.Loading.MayOrder, CacheStatusReported: g.Loading.TellsWarm, IdleResidency: g.Loading.IdleKeep.Duration(),
		LoadRateWindow: g.Loading.RationSpan.Duration(), LoadRateBurst: g.Loading.RationFree, LoadRateRatio: g.Loading.RationShare,
		CancelAllowed: g.Limits.Cancel, HealthChecksAllowed: g.Limits.Probe, HedgingAllowed: g.Limits.SecondCopies,
		MaxAttempts: g.Limits.Attempts, MaxRetryAfter: g.Limits.RetryAfter.Duration(),
		DrainGrace: g.Safety.DrainGrace.Duration(), SlowStartShare: g.Safety.ColdShare,
		SlowStartDuration: g.Safety.ColdFor.Duration(), OverloadMultiple: g.Safety.FallMultiple,
		OverloadWindow: g.Safety.FallSpan.Duration(), SuspicionsReported: g.Gossip != nil,
		LoadReports: map[string]dispatch.ReportSource{"none": dispatch.ReportsNone, "answers": dispatch.ReportsWithResponses,
			"probes": dispatch.ReportsFromHealthChecks}[g.Reports]}
	for _, k := range g.Kinds {
		s.WorkerKinds = append(s.WorkerKinds, dispatch.WorkerKind{Name: k.Name, MemoryMB: k.MemoryMB})
	}
	for _, c := range g.Classes {
		s.Classes = append(s.Classes, dispatch.Class{Name: c.Name, LatencyObjective: c.Aim.Duration(), Deadline: c.Deadline.Duration(),
			PriorityWeight: c.Worth, LateValueFraction: c.LateShare, DeduplicationWindow: c.Window.Duration(),
			Idempotency: map[string]dispatch.Idempotency{"safe": dispatch.Idempotent, "keyed": dispatch.IdempotentByKey, "unsafe": dispatch.NonIdempotent}[c.Effect],
			DeduplicationScope: map[string]dispatch.DeduplicationScope{"all": dispatch.ScopeAll, "zone": dispatch.ScopeZone,
				"cell": dispatch.ScopeCell}[c.Scope]})
	}
	for _, t := range g.Tenants {
		s.Tenants = append(s.Tenants, dispatch.Tenant{Name: t.Name, QuotaPerSecond: t.Quota, Share: t.Share})
	}
	return s
}

// CallBuilder returns what the servers need to know of models and classes.
func (g *Gateway) CallBuilder() *server.CallBuilder {
	builder := &server.CallBuilder{Models: map[string]server.ModelSettings{}, Deadlines: map[string]time.Duration{},
		ResponseMargin: g.Limits.AnswerMargin.Duration(), MaxMessageBytes: g.Limits.MessageBytes}
	model := func(m Model) server.ModelSettings {
		return server.ModelSettings{Class: m.Class, MemoryMB: m.MemoryMB, ConcurrencyPerInstance: m.Lanes, LoadTime: m.Load.Duration(),
			ExpectedWork: m.Work.Duration(), Versions: m.Versions}
	}
	for name, m := range g.Models {
		builder.Models[name] = model(m)
	}
	if g.DefaultModel != nil {
		builder.DefaultModel = model(*g.DefaultModel)
	}
	for _, c := range g.Classes {
		builder.Deadlines[c.Name] = c.Deadline.Duration()
	}
	return builder
}
