package agent_test

import (
	"encoding/json"
	"testing"

	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// TestGoldenAdminJSON pins the JSON of the admin socket's replies, whose field names operators' tools depend on.
func TestGoldenAdminJSON(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{"status", agent.Status{ID: "r1", Addr: "a:1", Key: "k1", Members: 1, Live: 2, MostLive: 3, HealthPenalty: 4, Received: 5,
			Core:    gossip.Stats{MessagesSent: 6, BytesSent: 7, Withheld: 8, Suspicions: 9, Deaths: 10, Refutations: 11, MostLive: 12},
			Quorum:  gossip.SuspicionQuorumStats{Claims: 13, Checks: 14, ConfirmedSilent: 15, Contradicted: 16},
			Dropped: agent.Dropped{RateLimited: 17, Malformed: 18, UnknownKey: 19, BadSignature: 20, Replayed: 21, QueueFull: 22, Statements: 23}},
			`{"id":"r1","address":"a:1","key":"k1","members":1,"live":2,"most_live":3,"local_health":4,"received":5,` +
				`"core":{"messages_sent":6,"bytes_sent":7,"withheld":8,"suspicions":9,"deaths":10,"refuted":11,"most_live":12},` +
				`"judge":{"claims":13,"looks":14,"found_silent":15,"contradicted":16},` +
				`"dropped":{"over_the_limit":17,"malformed":18,"unknown_key":19,"bad_signature":20,"replayed":21,"queue_full":22,"statements":23}}`},
		{"peer", agent.Peer{Member: gossip.Member{ID: "r2", Addr: "b:2", State: gossip.Suspect, Incarnation: 7, Direct: true, SuspectedBy: 2},
			State: "suspect", Weight: 0.5, Keys: []string{"k1", "k2"}},
			`{"id":"r2","address":"b:2","life":7,"direct":true,"doubted_by":2,"state":"suspect","weight":0.5,"keys":["k1","k2"]}`},
		{"suspicion", gossip.Suspicion{Worker: "w1", Kind: gossip.WorkerFailing.String(), Class: "c", Weight: 2, Signers: []string{"r1"}},
			`{"worker":"w1","about":"failing","class":"c","weight":2,"by":["r1"]}`},
		{"keys", agent.KeyList{Own: "k1", Members: map[string][]string{"r1": {"k1"}}}, `{"own":"k1","members":{"r1":["k1"]}}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}
