package gossip

import (
	"fmt"
	"testing"
	"time"
)

// TestSuspicionPublisher checks that own suspicions are published and repeated while they persist, withdrawn when the
// worker responds, and not published while the claims of others have enough weight.
func TestSuspicionPublisher(t *testing.T) {
	weightOfOthers := 0.0
	c := NewSuspicionPublisher(LocalSuspicionPublisherConfig, func(string) float64 { return weightOfOthers })
	silent := WorkerSuspected{Worker: "w", Kind: WorkerSilent}
	failing := WorkerSuspected{Worker: "w", Kind: WorkerFailing, Class: "renew"}
	for _, step := range []struct {
		name   string
		now    time.Duration
		others float64
		events []PublisherEvent
		want   []string
	}{
		{"not listed", 0, 0, []PublisherEvent{silent}, nil},
		{"first", time.Second, 0, []PublisherEvent{oneWorker, silent}, []string{"silent w 5"}},
		{"again at once", 2 * time.Second, 0, []PublisherEvent{silent}, nil},
		{"while it holds", 4 * time.Second, 0, nil, []string{"silent w 5"}},
		{"heard", 5 * time.Second, 0, []PublisherEvent{WorkerResponded{"w"}}, []string{"back w 5"}},
		{"over", 20 * time.Second, 0, nil, nil},
		{"claimed by others", 21 * time.Second, 4, []PublisherEvent{silent}, nil},
		{"no longer claimed by others", 22 * time.Second, 0, nil, []string{"silent w 5"}},
		{"restarted", 30 * time.Second, 0, []PublisherEvent{WorkerList{Started: map[string]uint64{"w": 6}}}, nil},
		{"failing class", 31 * time.Second, 0, []PublisherEvent{failing}, []string{"failing w 6"}},
		{"not seen again", 36 * time.Second, 0, nil, nil},
	} {
		t.Run(step.name, func(t *testing.T) { // each depends on the previous ones
			weightOfOthers = step.others
			var got []string
			for _, p := range c.Step(step.now, step.events) {
				s := p.Statement
				got = append(got, fmt.Sprint(s.Kind, " ", s.Subject, " ", s.SubjectIncarnation))
			}
			if fmt.Sprint(got) != fmt.Sprint(step.want) {
				t.Errorf("published %v, want %v", got, step.want)
			}
		})
	}
}
