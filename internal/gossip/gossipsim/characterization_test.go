package gossipsim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"testing"
	"time"
)

// TestCharacterizationOfTrials pins the results of seeded trials in their JSON form, as one SHA-256 sum.
func TestCharacterizationOfTrials(t *testing.T) {
	sum := sha256.New()
	for seed := range uint64(3) {
		for _, trial := range []Trial{{}, {Loss: 0.05}, {SlowShare: 0.1}} {
			trial.Members, trial.Seed = 24, seed+1
			trial.WarmUp, trial.Steady, trial.DetectionWindow = 5*time.Second, 8*time.Second, 40*time.Second
			r := trial.Run()
			r.WallSeconds = 0
			raw, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			sum.Write(append(raw, '\n'))
		}
	}
	const want = "f8c6b480dfb3aa722af5a075e7e60bcaf0d3da562e95194d6a9752017aac9ea8"
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
