package scenario

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	printedViolations = 10
	progressBarWidth  = 24
)

// Progress is the state of a running scenario.
type Progress struct {
	Elapsed, Length        time.Duration
	Sent, Served, Rejected int // requests
	Failed, Pending        int
	ActiveFaults           []string
}

// Line formats the progress on one line.
func (p Progress) Line() string {
	full := min(int(float64(progressBarWidth)*float64(p.Elapsed)/float64(max(p.Length, 1))), progressBarWidth)
	return fmt.Sprintf("[%s%s] %5.1fs  sent %d  served %d  rejected %d  failed %d  pending %d  %s",
		strings.Repeat("=", full), strings.Repeat(" ", progressBarWidth-full), p.Elapsed.Seconds(), p.Sent, p.Served,
		p.Rejected, p.Failed, p.Pending, strings.Join(slices.Compact(p.ActiveFaults), "+"))
}

// Print writes the report as text for people.
func (r *Report) Print(w io.Writer) error {
	var text strings.Builder
	if err := r.formatClasses(&text); err != nil {
		return err
	}
	r.formatTotals(&text)
	r.formatRules(&text)
	_, err := io.WriteString(w, text.String())
	return err
}

func (r *Report) formatClasses(text *strings.Builder) error {
	var rows strings.Builder
	rows.WriteString("class\tidempotency\trequests\ton time\tlate\trejected\tfailed\tunanswered\tcalls\tmessages\tp50 ms\tp99 ms\t\n")
	for _, c := range r.Classes {
		fmt.Fprintf(&rows, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t\n", c.Class, c.Idempotency, c.Requests,
			c.ServedOnTime, c.ServedLate, c.Rejected, c.Failed, c.Unanswered, c.Calls, c.Messages, c.P50*1000, c.P99*1000)
	}
	table := tabwriter.NewWriter(text, 0, 4, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	return table.Flush()
}

func (r *Report) formatTotals(text *strings.Builder) {
	fmt.Fprintf(text, "service %.3f (value served over value requested); %d attempts, %d load commands, "+
		"%d fetches from the store, %d rejected\n\n", r.ServedValueFraction, r.Attempts, r.LoadCommands, r.StoreFetches, r.StoreRejections)
	if h := r.Hangs; h != nil {
		fmt.Fprintf(text, "hanging workers: %d; %d attempts went there, half within %.2f s, 95 of 100 within %.2f s; a router's "+
			"last after %.2f s\n", h.Workers, h.Attempts, h.P50, h.P95, h.MeanLastAttempt)
	}
	if g := r.Gossip; g != nil {
		fmt.Fprintf(text, "gossip: %.0f bytes/s a router, %.0f at most, limit %.0f, exceeded %d times; forged %d, dropped %d; "+
			"%d claims, %d verifications, %d confirmed a silent worker, %d found a healthy one\n", g.MeanBytesPerSecond,
			g.MaxBytesPerSecond, g.CapBytesPerSecond, g.TimesOverCap, g.ForgedSent, g.Dropped.TotalPackets(), g.Claims,
			g.Verifications, g.ConfirmedSilent, g.Contradicted)
	}
	if r.Hangs != nil || r.Gossip != nil {
		text.WriteByte('\n')
	}
}

func (r *Report) formatRules(text *strings.Builder) {
	for i, n := range r.ViolationsByRule {
		verdict := "satisfied"
		if n > 0 {
			verdict = fmt.Sprintf("VIOLATED %d times", n)
		}
		fmt.Fprintf(text, "rule %d  %-30s %s\n", i+1, invariants.RuleNames[i+1], verdict)
	}
	for i, violation := range r.Violations {
		if i == printedViolations {
			fmt.Fprintf(text, "  and %d more\n", len(r.Violations)-printedViolations)
			break
		}
		fmt.Fprintln(text, "  "+violation)
	}
}
