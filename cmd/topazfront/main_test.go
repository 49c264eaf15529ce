package main

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"testing"

	"github.com/alecthomas/kong"
)

func newParser(t *testing.T) *kong.Kong {
	t.Helper()
	k, err := kong.New(&program{}, kong.Name("topazfront"))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestGoldenCommandLine checks the sub-commands, their flags with default values, and their arguments.
func TestGoldenCommandLine(t *testing.T) {
	var out bytes.Buffer
	for _, leaf := range newParser(t).Model.Leaves(false) {
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
		t.Errorf("commands differ from testdata/commands.txt; got\n%s", out.Bytes())
	}
}

// TestDocumentedCommandLinesParse checks that the program accepts the command lines in the operators' documentation,
// the README and scripts, also with the former names of commands and flags.
func TestDocumentedCommandLinesParse(t *testing.T) {
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
		{"fake-worker", []string{"fake-worker", "--workers", "3", "--dir", dir}},
		{"fake-worker by its old name", []string{"standin", "--workers", "3", "--dir", dir}},
		{"scenario list", []string{"scenario", "list"}},
		{"scenario run", []string{"scenario", "run", "bad-day", "--report", "out.json", "--seed", "3"}},
		{"scenario run, policies", []string{"scenario", "run", "bad-day", "--policy", "module,random"}},
		{"scenario run, gossip", []string{"scenario", "run", "peers", "--gossip", "off", "--no-faults", "--quiet"}},
		{"day list", []string{"day", "list"}},
		{"day run", []string{"day", "run", "bad-day", "--report", "out.json"}},
		{"day run, policies", []string{"day", "run", "bad-day", "--policy", "module,random"}},
		{"day run, gossip", []string{"day", "run", "peers", "--seed", "3", "--gossip", "off", "--calm", "--quietly"}},
		{"day run, scripted gossip", []string{"day", "run", "peers", "--gossip", "script"}},
		{"check", []string{"check", "--workers", file}},
		{"call", []string{"call", "--address", "127.0.0.1:1", "--model", "quote", "--stream", "--param", "sim_messages=5"}},
		{"gossip status", []string{"gossip", "status", "--socket", file}},
		{"gossip keygen", []string{"gossip", "keygen", "--id", "r0", "--key", "k1", "--file", file, "--over"}},
		{"gossip keygen, new flag", []string{"gossip", "keygen", "--id", "r0", "--key", "k1", "--file", file, "--overwrite"}},
		{"gossip simulate", []string{"gossip", "simulate", "--members", "50", "--seeds", "1"}},
		{"experiment growth", []string{"experiment", "growth", "--usual", "60", "--workers", "960,1920", "--runs", "calm,surge",
			"--duration", "6s", "--seed", "3", "--out", dir, "--quiet"}},
		{"version", []string{"version"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := newParser(t).Parse(c.args); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestFormerNamesSetSameFlags checks that the former names of renamed commands and flags have the same effect as their
// present names.
func TestFormerNamesSetSameFlags(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		name     string
		old, new []string
	}{
		{"standin", []string{"standin", "--workers", "7", "--dir", dir}, []string{"fake-worker", "--workers", "7", "--dir", dir}},
		{"day list", []string{"day", "list"}, []string{"scenario", "list"}},
		{"day run", []string{"day", "run", "peers", "--seed", "3", "--calm", "--quietly"},
			[]string{"scenario", "run", "peers", "--seed", "3", "--no-faults", "--quiet"}},
		{"gossip keygen", []string{"gossip", "keygen", "--id", "r0", "--key", "k1", "--file", dir, "--over"},
			[]string{"gossip", "keygen", "--id", "r0", "--key", "k1", "--file", dir, "--overwrite"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			parse := func(args []string) (program, string) {
				var p program
				k, err := kong.New(&p, kong.Name("topazfront"))
				if err != nil {
					t.Fatal(err)
				}
				ctx, err := k.Parse(args)
				if err != nil {
					t.Fatal(err)
				}
				return p, ctx.Selected().Path()
			}
			oldProgram, oldCommand := parse(c.old)
			newProgram, newCommand := parse(c.new)
			if !reflect.DeepEqual(oldProgram, newProgram) || oldCommand != newCommand {
				t.Errorf("%s %+v\n%s %+v", oldCommand, oldProgram, newCommand, newProgram)
			}
		})
	}
}
