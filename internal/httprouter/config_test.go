package httprouter

import (
	"strings"
	"testing"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

func TestParseConfigRejectsInvalid(t *testing.T) {
	valid := configJSON("127.0.0.1:1", initialSnapshot(fakeplatform.EndpointsEvent(true, "a 127.0.0.1:1 active")))
	if _, err := ParseConfig([]byte(valid)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ part, replacement string }{
		"seed":                {`"seed":"8c1f30d27a5be964"`, `"seed":"x"`},
		"listen address":      {`"listen":"127.0.0.1:0"`, `"listen":"nowhere"`},
		"discovery address":   {`"channel":"127.0.0.1:1"`, `"channel":""`},
		"memory":              {`"memory_mb":64`, `"memory_mb":0`},
		"descriptors":         {`"sockets":256`, `"sockets":3`},
		"initial endpoints":   {`"known":`, `"unknown":`},
		"settings":            {`"settings":`, `"other":`},
		"idempotency":         {`"read_like"`, `"odd"`},
		"initial endpoint ID": {`"id":"a"`, `"id":""`},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseConfig([]byte(strings.Replace(valid, c.part, c.replacement, 1))); err == nil {
				t.Errorf("%s in place of %s is accepted", c.replacement, c.part)
			}
		})
	}
}
