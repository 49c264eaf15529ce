package config

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/testsupport/golden"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// indentedJSON marshals a value in the format of the golden files.
func indentedJSON(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(raw, '\n')
}

// TestGoldenGateway parses a file that has every key, each with a different value. It compares the settings, and their
// conversions for the dispatcher, the servers and the gossip agent, with golden files.
func TestGoldenGateway(t *testing.T) {
	g, err := Parse("gateway.json", golden.Read(t, "gateway.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "gateway.out", indentedJSON(t, g))
	golden.Compare(t, "settings.out", []byte(golden.PlainValue(g.DispatchSettings())+"\n"))

	var calls bytes.Buffer
	builder := g.CallBuilder()
	for _, name := range slices.Sorted(maps.Keys(builder.Models)) {
		m := builder.Models[name]
		fmt.Fprintln(&calls, name, m.Class, m.MemoryMB, m.ConcurrencyPerInstance, m.LoadTime, m.ExpectedWork, m.Versions)
	}
	m := builder.DefaultModel
	fmt.Fprintln(&calls, "default", m.Class, m.MemoryMB, m.ConcurrencyPerInstance, m.LoadTime, m.ExpectedWork, m.Versions)
	for _, name := range slices.Sorted(maps.Keys(builder.Deadlines)) {
		fmt.Fprintln(&calls, name, builder.Deadlines[name])
	}
	fmt.Fprintln(&calls, builder.ResponseMargin, builder.MaxMessageBytes)
	golden.Compare(t, "calls.out", calls.Bytes())

	a := g.Gossip.AgentConfig(g.Name, g.Seed)
	golden.Compare(t, "agent.out", fmt.Appendln(nil, a.ID, a.Listen, a.Advertise, a.Seeds, a.Gossip.BytesPerSecond,
		a.Gossip.BurstBytes, a.Gossip.MessagesPerSecond, a.Gossip.BurstMessages, a.Gossip.ProbeInterval, a.Gossip.EvidenceLifetime,
		a.Quorum.ClaimLifetime, a.CheckTimeout, a.Seed))
}

// TestGoldenGatewayHasEveryKey checks that the golden input sets every key, so that a new setting is added there too.
func TestGoldenGatewayHasEveryKey(t *testing.T) {
	g, err := Parse("gateway.json", golden.Read(t, "gateway.json"))
	if err != nil {
		t.Fatal(err)
	}
	var zeros []string
	var find func(path string, v reflect.Value)
	find = func(path string, v reflect.Value) {
		switch {
		case v.IsZero():
			zeros = append(zeros, path)
		case v.Kind() == reflect.Pointer:
			find(path, v.Elem())
		case v.Kind() == reflect.Struct:
			for i := range v.NumField() {
				find(path+"/"+v.Type().Field(i).Tag.Get("json"), v.Field(i))
			}
		}
	}
	find("", reflect.ValueOf(g))
	if len(zeros) > 0 {
		t.Errorf("keys without a value: %v", zeros)
	}
}

// TestGoldenDefaults compares the default settings with a golden file.
func TestGoldenDefaults(t *testing.T) {
	golden.Compare(t, "defaults.out", indentedJSON(t, Defaults()))
}

// decemberClock is a router's clock that was 0 at the start of December 2026 and is now at the end of that year.
type decemberClock struct{}

func (decemberClock) Now() time.Duration { return 31 * 24 * time.Hour }

func (decemberClock) FromWallTime(moment wallclock.Time) time.Duration {
	return moment.Sub(wallclock.FromTime(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)))
}

// TestGoldenWorkers compares a parsed worker list that has every key with a golden file, and checks that it is written
// as it was read.
func TestGoldenWorkers(t *testing.T) {
	raw := golden.Read(t, "workers.json")
	list, err := ParseWorkers("workers.json", raw)
	if err != nil {
		t.Fatal(err)
	}
	workers := list.Endpoints(endpoints.NewStartTimes(decemberClock{}))
	golden.Compare(t, "workers.out", fmt.Appendf(nil, "%s\n%s\n", golden.PlainValue(workers),
		golden.PlainValue(list.StartTimes())))
	path := filepath.Join(t.TempDir(), "workers.json")
	if err := WriteWorkers(path, *list); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(written, '\n'), raw) {
		t.Errorf("the list was written as\n%s\nit was read from\n%s", written, raw)
	}
}

// TestGoldenMembers compares a parsed members file with a golden file, and checks that it is written as it was read.
func TestGoldenMembers(t *testing.T) {
	raw := golden.Read(t, "members.json")
	members, err := ParseMembers("members.json", raw)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for _, id := range slices.Sorted(maps.Keys(members)) {
		for _, key := range slices.Sorted(maps.Keys(members[id])) {
			fmt.Fprintln(&out, id, key, base64.StdEncoding.EncodeToString(members[id][key]))
		}
	}
	golden.Compare(t, "members.out", out.Bytes())
	var list MemberList
	if err := json.Unmarshal(raw, &list); err != nil {
		t.Fatal(err)
	}
	if written := indentedJSON(t, list); !bytes.Equal(written, raw) {
		t.Errorf("the list was written as\n%s\nit was read from\n%s", written, raw)
	}
}

// TestGoldenSchemas compares the schemas, without titles and descriptions, with golden files.
func TestGoldenSchemas(t *testing.T) {
	for name, schema := range map[string][]byte{"gateway": gatewaySchema, "workers": workersSchema, "members": membersSchema} {
		t.Run(name, func(t *testing.T) {
			var doc map[string]any
			if err := json.Unmarshal(schema, &doc); err != nil {
				t.Fatal(err)
			}
			removeDescriptions(doc)
			golden.Compare(t, name+"_schema.out", indentedJSON(t, doc))
		})
	}
}

// removeDescriptions removes titles and descriptions. A setting named title or description is an object and is kept.
func removeDescriptions(v any) {
	switch v := v.(type) {
	case map[string]any:
		for _, key := range []string{"title", "description"} {
			if _, isText := v[key].(string); isText {
				delete(v, key)
			}
		}
		for _, inner := range v {
			removeDescriptions(inner)
		}
	case []any:
		for _, inner := range v {
			removeDescriptions(inner)
		}
	}
}
