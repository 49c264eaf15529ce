package config

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
)

// defaultVerificationTimeout applies if the gossip settings have no timeout.
const defaultVerificationTimeout Milliseconds = 400

// Load reads and validates a gateway's settings. Relative paths in them are resolved against the file's directory.
func Load(path string) (*Gateway, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	g, err := Parse(path, raw)
	if err != nil {
		return nil, err
	}
	paths := []*string{&g.Workers.File, &g.Admin.Socket}
	if g.Gossip != nil {
		paths = append(paths, &g.Gossip.MembersFile, &g.Gossip.KeyFile)
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return g, nil
}

// Parse validates a gateway's settings and fills in defaults. Invalid settings are reported as an InvalidError, in
// which file is the name of the document.
func Parse(file string, raw []byte) (*Gateway, error) {
	g := Defaults()
	if err := decode(file, raw, gatewaySchema, &g); err != nil {
		return nil, err
	}
	if g.Gossip != nil && g.Gossip.VerificationTimeout == 0 {
		g.Gossip.VerificationTimeout = defaultVerificationTimeout
	}
	invalid := &InvalidError{File: file}
	g.check(invalid)
	if err := invalid.orNil(); err != nil {
		return nil, err
	}
	return &g, nil
}

// check adds the problems that the schema cannot express.
func (g *Gateway) check(invalid *InvalidError) {
	if _, _, err := net.SplitHostPort(g.Listen); err != nil {
		invalid.add("/listen", "%v", err)
	}
	classes := g.checkClasses(invalid)
	g.checkModels(invalid, classes)
	if g.Gossip != nil {
		g.Gossip.check(invalid)
	}
	kinds := map[string]bool{}
	for i, k := range g.WorkerKinds {
		if kinds[k.Name] {
			invalid.add(fmt.Sprintf("/kinds/%d/name", i), "%q is named twice", k.Name)
		}
		kinds[k.Name] = true
	}
}

// checkClasses checks the classes and returns their names.
func (g *Gateway) checkClasses(invalid *InvalidError) map[string]bool {
	names := map[string]bool{}
	for i, c := range g.Classes {
		path := fmt.Sprintf("/classes/%d", i)
		if names[c.Name] {
			invalid.add(path+"/name", "%q is named twice", c.Name)
		}
		names[c.Name] = true
		if c.LatencyObjective > c.Deadline || c.Deadline == 0 {
			invalid.add(path+"/deadline_ms", "is 0 or shorter than aim_ms")
		}
		if c.Idempotency == "keyed" && (c.DeduplicationWindow == 0 || c.DeduplicationScope == "") {
			invalid.add(path, "a keyed class needs window_ms and scope")
		}
	}
	return names
}

// checkModels checks that each model's class exists, and that there is a model.
func (g *Gateway) checkModels(invalid *InvalidError, classes map[string]bool) {
	for name, m := range g.Models {
		if !classes[m.Class] {
			invalid.add("/models/"+name+"/class", "%q is not among /classes", m.Class)
		}
	}
	if g.DefaultModel != nil && !classes[g.DefaultModel.Class] {
		invalid.add("/default_model/class", "%q is not among /classes", g.DefaultModel.Class)
	}
	if len(g.Models) == 0 && g.DefaultModel == nil {
		invalid.add("", "neither models nor default_model is set: every call would be rejected")
	}
}
