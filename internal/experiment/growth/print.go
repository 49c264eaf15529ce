package growth

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Print writes the verdicts as a table.
func (r *Report) Print(w io.Writer) error {
	var table strings.Builder
	fmt.Fprintln(&table, "run\tworkers\tusual\twhat\tusual figure\tfigure\tallowed\tverdict\t")
	for _, v := range r.Verdicts {
		fmt.Fprintf(&table, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", v.Disruption, v.Workers, v.UsualWorkers, v.Criterion,
			formatFigure(v.Usual), formatFigure(v.Figure), formatFigure(v.Allowed), v.outcome())
	}
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(out, table.String()); err != nil {
		return err
	}
	return out.Flush()
}

func (v Verdict) outcome() string {
	if v.Passed {
		return "passed"
	}
	return "FAILED"
}

// formatFigure formats a figure. Large figures have no fraction.
func formatFigure(figure float64) string {
	if figure >= 1000 {
		return fmt.Sprintf("%.0f", figure)
	}
	return fmt.Sprintf("%.2f", figure)
}
