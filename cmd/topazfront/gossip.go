package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/topazfront/topazfront/internal/adminapi"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

type gossipCmd struct {
	Status     gossipStatusCmd     `cmd:"" help:"Show the gossip state of a running router: members, traffic, dropped packets."`
	Peers      gossipPeersCmd      `cmd:"" help:"List the routers that a running router knows."`
	Suspicions gossipSuspicionsCmd `cmd:"" help:"List the suspected workers with the kind of suspicion, its weight and the routers that signed it."`
	Keys       gossipKeysCmd       `cmd:"" help:"List the keys that a running router admits."`
	Keygen     gossipKeygenCmd     `cmd:"" help:"Generate a router's key and print its line for the file of admitted routers."`
	Simulate   gossipSimulateCmd   `cmd:"" help:"Run the gossip of many routers over a simulated network and plot the results."`
}

// adminQuery holds the flags of a query to a running router.
type adminQuery struct {
	Socket  string        `required:"" type:"path" help:"Admin socket of the router (control.socket in its settings)."`
	Timeout time.Duration `default:"3s" help:"Timeout of the query."`
	JSON    bool          `help:"Print the reply as JSON."`
}

// printReply calls a method of the admin API and prints its reply as JSON or as a table. format writes the rows of the
// table, with tabs between the columns.
func printReply[T any](q *adminQuery, method string, format func(rows *strings.Builder, reply T)) error {
	var raw json.RawMessage
	if err := adminapi.Call(q.Socket, method, nil, &raw, q.Timeout); err != nil {
		return err
	}
	if q.JSON {
		_, err := fmt.Println(string(raw))
		return err
	}
	var reply T
	if err := json.Unmarshal(raw, &reply); err != nil {
		return fmt.Errorf("%s: invalid reply to %s: %w", q.Socket, method, err)
	}
	var rows strings.Builder
	format(&rows, reply)
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	return table.Flush()
}

type gossipStatusCmd struct{ adminQuery }

func (c *gossipStatusCmd) Run() error {
	return printReply(&c.adminQuery, "gossip.status", func(rows *strings.Builder, s agent.Status) {
		fmt.Fprintf(rows, "router\t%s at %s, signing with key %s\n", s.ID, s.Addr, s.Key)
		fmt.Fprintf(rows, "routers\t%d live, itself included; %d known; at most %d were live at once\n", s.Live, s.Members+1,
			s.MostLive)
		fmt.Fprintf(rows, "health penalty\t%d (0 is good)\n", s.HealthPenalty)
		fmt.Fprintf(rows, "traffic\t%d messages sent, %d bytes; %d withheld by the limit; %d received\n", s.Core.MessagesSent,
			s.Core.BytesSent, s.Core.Withheld, s.Received)
		fmt.Fprintf(rows, "routers suspected\t%d times, %d declared dead; suspicions of itself refuted: %d\n", s.Core.Suspicions,
			s.Core.Deaths, s.Core.Refutations)
		fmt.Fprintf(rows, "workers suspected\t%d claims, %d verifications, %d confirmed, %d contradicted\n", s.Quorum.Claims,
			s.Quorum.Checks, s.Quorum.ConfirmedSilent, s.Quorum.Contradicted)
		d := s.Dropped
		fmt.Fprintf(rows, "dropped\t%d packets: %d over the limit of checks, %d malformed, %d by unknown keys, %d with a bad "+
			"signature, %d replayed, %d with the queue full; %d statements within others\n", d.TotalPackets(), d.RateLimited,
			d.Malformed, d.UnknownKey, d.BadSignature, d.Replayed, d.QueueFull, d.Statements)
	})
}

type gossipPeersCmd struct{ adminQuery }

func (c *gossipPeersCmd) Run() error {
	return printReply(&c.adminQuery, "gossip.peers", func(rows *strings.Builder, peers []agent.Peer) {
		fmt.Fprintln(rows, "router\taddress\tstate\theard directly\tsuspected by\tweight\tkeys")
		for _, p := range peers {
			fmt.Fprintf(rows, "%s\t%s\t%s\t%v\t%d\t%.2f\t%s\n", p.ID, p.Addr, p.State, p.Direct, p.SuspectedBy, p.Weight,
				strings.Join(p.Keys, " "))
		}
	})
}

type gossipSuspicionsCmd struct{ adminQuery }

func (c *gossipSuspicionsCmd) Run() error {
	return printReply(&c.adminQuery, "gossip.suspicions", func(rows *strings.Builder, suspicions []gossip.Suspicion) {
		fmt.Fprintln(rows, "worker\tsuspected to be\tclass\tweight\tby")
		for _, s := range suspicions {
			fmt.Fprintf(rows, "%s\t%s\t%s\t%.2f\t%s\n", s.Worker, s.Kind, s.Class, s.Weight, strings.Join(s.Signers, " "))
		}
	})
}

type gossipKeysCmd struct{ adminQuery }

func (c *gossipKeysCmd) Run() error {
	return printReply(&c.adminQuery, "gossip.keys", func(rows *strings.Builder, keys agent.KeyList) {
		fmt.Fprintf(rows, "signs with\t%s\nadmitted\tkeys\n", keys.Own)
		for _, id := range slices.Sorted(maps.Keys(keys.Members)) {
			fmt.Fprintf(rows, "%s\t%s\n", id, strings.Join(keys.Members[id], " "))
		}
	})
}
