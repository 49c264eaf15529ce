package main

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/alecthomas/kong"
)

func parser(t *testing.T) *kong.Kong {
	t.Helper()
	k, err := kong.New(&program{}, kong.Name("topazfront"))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestGoldenCommandLine holds the sub-commands, their flags with the default values and their arguments.
func TestGoldenCommandLine(t *testing.T) {
	var out bytes.Buffer
	for _, leaf := range parser(t).Model.Leaves(false) {
		fmt.Fprintln(&out, leaf.Path())
		for _, f := range leaf.Flags {
			fmt.Fprintf(&out, "  --%s default %q enum %q required %v\n", f.Name, f.Default, f.Enum, f.Required)
		}
		for _, p := range leaf.Positional {
			fmt.Fprintf(&out, "  <%s> required %v\n", p.Name, p.Required)
		}
	}
	want, err := os.ReadFile("testdata/commands.txt")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("the command line differs; got\n%s", out.Bytes())
	}
}

// TestCommandLinesOfThePages parses each command line that a page for operators, the README or a script names.
func TestCommandLinesOfThePages(t *testing.T) {
	dir := t.TempDir()
	file := dir + "/settings.json"
	if err := os.WriteFile(file, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		args []string
	}{
		{"demo", []string{"demo"}},
		{"demo, held", []string{"demo", "--hold"}},
		{"serve", []string{"serve", "--config", file}},
		{"node", []string{"node", "--config", file}},
		{"standin", []string{"standin", "--workers", "3", "--dir", dir}},
		{"day list", []string{"day", "list"}},
		{"day run", []string{"day", "run", "bad-day", "--report", "out.json"}},
		{"day run, policies", []string{"day", "run", "bad-day", "--policy", "module,random"}},
		{"day run, gossip", []string{"day", "run", "peers", "--seed", "3", "--gossip", "off", "--calm", "--quietly"}},
		{"day run, scripted gossip", []string{"day", "run", "peers", "--gossip", "script"}},
		{"check", []string{"check", "--workers", file}},
		{"call", []string{"call", "--address", "127.0.0.1:1", "--model", "quote", "--stream", "--param", "sim_messages=5"}},
		{"gossip status", []string{"gossip", "status", "--socket", file}},
		{"gossip keygen", []string{"gossip", "keygen", "--id", "r0", "--key", "k1", "--file", file, "--over"}},
		{"gossip simulate", []string{"gossip", "simulate", "--members", "50", "--seeds", "1"}},
		{"version", []string{"version"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := parser(t).Parse(c.args); err != nil {
				t.Error(err)
			}
		})
	}
}
