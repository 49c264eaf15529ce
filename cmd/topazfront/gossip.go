package main

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/topazfront/topazfront/internal/adminapi"
	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
	"github.com/topazfront/topazfront/internal/gossip/gossipsim"
)

type gossipCmd struct {
	Status     gossipStatusCmd     `cmd:"" help:"How a running router's gossip stands: members, traffic, what was dropped."`
	Peers      gossipPeersCmd      `cmd:"" help:"The routers that it knows."`
	Suspicions gossipSuspicionsCmd `cmd:"" help:"What is said of workers, by whom, and what it weighs."`
	Keys       gossipKeysCmd       `cmd:"" help:"The keys that it admits."`
	Keygen     gossipKeygenCmd     `cmd:"" help:"Make a router's key, and print its line for the file of admitted routers."`
	Simulate   gossipSimulateCmd   `cmd:"" help:"Play many routers' gossip by a simulated network, and plot it."`
}

// running is a call to a running router.
type running struct {
	Socket  string        `required:"" type:"path" help:"Operators' socket of the router (control.socket of its settings)."`
	Timeout time.Duration `default:"3s" help:"Give up after this long."`
	JSON    bool          `help:"Print the answer as JSON."`
}

// ask prints a method's answer: as JSON, or by print.
func ask[T any](c *running, method string, print func(w io.Writer, got T)) error {
	var raw json.RawMessage
	if err := adminapi.Call(c.Socket, method, nil, &raw, c.Timeout); err != nil {
		return err
	}
	if c.JSON {
		_, err := fmt.Println(string(raw))
		return err
	}
	var got T
	if err := json.Unmarshal(raw, &got); err != nil {
		return fmt.Errorf("%s: the answer is not that of %s: %w", c.Socket, method, err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	print(w, got)
	return w.Flush()
}

type gossipStatusCmd struct{ running }

func (c *gossipStatusCmd) Run() error {
	return ask(&c.running, "gossip.status", func(w io.Writer, s agent.Status) {
		fmt.Fprintf(w, "router\t%s at %s, signing with key %s\n", s.ID, s.Addr, s.Key)
		fmt.Fprintf(w, "routers\t%d live, itself included; %d known; at most %d were live at once\n", s.Live, s.Members+1, s.MostLive)
		fmt.Fprintf(w, "local health\t%d (0 is good)\n", s.HealthPenalty)
		fmt.Fprintf(w, "traffic\t%d messages sent, %d bytes; %d withheld for want of budget; %d received\n", s.Core.MessagesSent,
			s.Core.BytesSent, s.Core.Withheld, s.Received)
		fmt.Fprintf(w, "routers doubted\t%d times, %d held to be dead; doubts of itself answered: %d\n", s.Core.Suspicions,
			s.Core.Deaths, s.Core.Refutations)
		fmt.Fprintf(w, "word of workers\t%d claims, %d looks, %d found silent, %d found well\n", s.Quorum.Claims, s.Quorum.Checks,
			s.Quorum.ConfirmedSilent, s.Quorum.Contradicted)
		d := s.Dropped
		fmt.Fprintf(w, "dropped\t%d packets: %d over the limit of checks, %d malformed, %d by unknown keys, %d with a bad signature, "+
			"%d replayed, %d with the queue full; %d statements within others\n", d.TotalPackets(), d.RateLimited, d.Malformed,
			d.UnknownKey, d.BadSignature, d.Replayed, d.QueueFull, d.Statements)
	})
}

type gossipPeersCmd struct{ running }

func (c *gossipPeersCmd) Run() error {
	return ask(&c.running, "gossip.peers", func(w io.Writer, list []agent.Peer) {
		fmt.Fprintln(w, "router\taddress\tstate\theard itself\tdoubted by\tweight\tkeys")
		for _, p := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%.2f\t%s\n", p.ID, p.Addr, p.State, p.Direct, p.SuspectedBy, p.Weight,
				strings.Join(p.Keys, " "))
		}
	})
}

type gossipSuspicionsCmd struct{ running }

func (c *gossipSuspicionsCmd) Run() error {
	return ask(&c.running, "gossip.suspicions", func(w io.Writer, list []gossip.Suspicion) {
		fmt.Fprintln(w, "worker\tsaid to be\tclass\tweight\tby")
		for _, s := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%s\n", s.Worker, s.Kind, s.Class, s.Weight, strings.Join(s.Signers, " "))
		}
	})
}

type gossipKeysCmd struct{ running }

func (c *gossipKeysCmd) Run() error {
	return ask(&c.running, "gossip.keys", func(w io.Writer, k agent.KeyList) {
		fmt.Fprintf(w, "signs with\t%s\nadmitted\tkeys\n", k.Own)
		for _, id := range slices.Sorted(maps.Keys(k.Members)) {
			fmt.Fprintf(w, "%s\t%s\n", id, strings.Join(k.Members[id], " "))
		}
	})
}

type gossipKeygenCmd struct {
	ID   string `required:"" help:"Router that the key is for."`
	Key  string `required:"" help:"Name of the key, such as its month."`
	File string `required:"" type:"path" help:"Where the private key goes; a file that is there is not replaced unless asked for."`
	Over bool   `help:"Replace a file that is there, in one step."`
}

func (c *gossipKeygenCmd) Run() error {
	pub, own, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	raw, err := config.FormatKey(agent.Key{Name: c.Key, Private: own})
	if err != nil {
		return err
	}
	if _, err := config.ParseKey(c.File, raw); err != nil { // a name that could not be read back
		return err
	}
	if _, err := os.Stat(c.File); err == nil && !c.Over {
		return fmt.Errorf("%s is there already; --over replaces it", c.File)
	}
	tmp := c.File + ".new"
	if err := os.WriteFile(tmp, raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(tmp, c.File); err != nil {
		return err
	}
	line, err := json.Marshal(config.Member{ID: c.ID, Keys: []config.MemberKey{{ID: c.Key,
		PublicKey: base64.StdEncoding.EncodeToString(pub)}}})
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}

type gossipSimulateCmd struct {
	Members []int         `default:"50,500" help:"Sizes to play."`
	Seeds   int           `default:"1" help:"Seeds for each."`
	Steady  time.Duration `default:"20s" help:"Simulated time over which traffic is taken."`
	After   time.Duration `default:"60s" help:"Simulated time for which a death is followed."`
	Out     string        `type:"path" help:"Folder for the plots (SVG) and the figures (JSON)."`
}

func (c *gossipSimulateCmd) Run(ctx context.Context) error {
	defer debug.SetGCPercent(debug.SetGCPercent(40)) // thousands of members each know thousands: memory bounds the size
	var all []gossipsim.Result
	fmt.Println("                     bytes/s msgs/s   peak   word heard by   reached   death seen by  wrongly  suspicions    wall")
	fmt.Println("routers  loss  slow                             50%     99%            first     99%     dead   a minute       s")
	for _, n := range c.Members {
		for _, v := range []gossipsim.Trial{{}, {Loss: 0.05}, {SlowShare: 0.1}} {
			for seed := range c.Seeds {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				v.Members, v.Seed, v.WarmUp, v.Steady, v.FollowDeath = n, uint64(seed+1), 10*time.Second, c.Steady, c.After
				r := v.Run()
				all = append(all, r)
				fmt.Printf("%7d  %4.2f  %4.2f  %7.0f  %5.1f %6.0f %7.3f %7.3f  %7.3f  %6.1f  %6.1f  %7d  %10.1f  %6.1f\n", r.Members,
					r.Loss, r.SlowShare, r.BytesPerSecond, r.MessagesPerSecond, r.PeakBytesPerSecond, r.SpreadTo50, r.SpreadTo99, r.Reached, r.FirstDeath,
					r.DeathTo99, r.FalseDeaths, r.SuspicionsPerMemberMinute, r.WallSeconds)
				if err := c.save(all); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// save writes figures and plots after each trial, as the large ones take long.
func (c *gossipSimulateCmd) save(all []gossipsim.Result) error {
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	if err := config.WriteJSON(filepath.Join(c.Out, "gossip.json"), all); err != nil {
		return err
	}
	return gossipsim.WritePlots(c.Out, all)
}
