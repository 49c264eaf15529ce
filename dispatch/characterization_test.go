package dispatch

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"os"
	"strings"
	"testing"
)

var updateCharacterization = flag.Bool("characterization.update", false,
	"overwrite the recorded hashes; use it only for an intended change of decisions")

const (
	characterizationFile  = "testdata/characterization.txt"
	characterizationSeeds = 40
)

// TestCharacterization guards against unintended changes of decisions in a refactoring. It compares hashes of the
// actions of seeded simulations with recorded ones. The hashes contain fixed tags and numbers, but no names of the
// code.
func TestCharacterization(t *testing.T) {
	sums := make([]string, characterizationSeeds)
	t.Run("seeds", func(t *testing.T) {
		for seed := range sums {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				sums[seed] = newSimulation(t, uint64(seed)).simulate()
			})
		}
	})
	got := strings.Join(sums, "\n") + "\n"
	if *updateCharacterization {
		if err := os.WriteFile(characterizationFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(characterizationFile)
	if err != nil {
		t.Fatal(err)
	}
	for seed, sum := range strings.Fields(string(want)) {
		if sum != sums[seed] {
			t.Errorf("seed %d: actions hash to %s, recorded is %s", seed, sums[seed], sum)
		}
	}
	if len(strings.Fields(string(want))) != characterizationSeeds {
		t.Errorf("%s does not hold %d sums", characterizationFile, characterizationSeeds)
	}
}

// actionHash hashes actions with a fixed tag for each type.
type actionHash struct{ sum hash.Hash }

func (h actionHash) number(values ...int64) {
	for _, v := range values {
		h.sum.Write(binary.BigEndian.AppendUint64(nil, uint64(v)))
	}
}

func (h actionHash) text(s string) {
	h.number(int64(len(s)))
	h.sum.Write([]byte(s))
}

func (h actionHash) add(t *testing.T, a Action) {
	switch a := a.(type) {
	case StartAttempt:
		h.number(1, int64(a.ID), int64(a.Timeout))
		h.text(a.Worker)
	case CancelAttempt:
		h.number(2, int64(a.ID), int64(a.Attempt))
	case RejectRequest:
		h.number(3, int64(a.ID), int64(a.RetryAfter))
	case FailRequest:
		h.number(4, int64(a.ID))
	case LoadFunction:
		h.number(5, int64(a.Copies))
		h.text(a.Worker)
		h.text(a.Function)
	case CheckHealth:
		h.number(6)
		h.text(a.Worker)
	case SubscribeEndpoints:
		h.number(7)
	case SetTimer:
		h.number(8, int64(a.After))
	case ReportSuspicion:
		slow := int64(0)
		if a.Slow {
			slow = 1
		}
		h.number(9, slow)
		h.text(a.Worker)
		h.text(a.Class)
	default:
		t.Errorf("unknown action type %T", a)
	}
}
