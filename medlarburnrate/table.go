package medlarburnrate

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"
)

// round rounds to three decimals, so that reports do not differ in insignificant digits.
func round(value float64) float64 { return math.Round(value*1000) / 1000 }

// WriteTable writes r as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "burn report at %s from %d instances\n\n", r.At.UTC().Format(time.RFC3339), r.Instances); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	// The writer keeps the first error and returns it from Flush.
	_, _ = fmt.Fprintln(table, "TEMPLATE\tACCOUNT\tWINDOW\tGOOD\tSLOW\tREFUSED\tUNKNOWN\tTARGET\tBURN RATE\tBUDGET LEFT\t")
	for i := range r.Rows {
		row := &r.Rows[i]
		target, burn, left := "-", "-", "-"
		if row.BurnRate != nil {
			target = fmt.Sprintf("%.4f%%", float64(row.TargetMillionths)/(millionths/100))
			burn = fmt.Sprintf("%.2f", *row.BurnRate)
			left = fmt.Sprintf("%.1f%%", 100**row.BudgetLeft)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n",
			row.Template, row.Account, row.Window, row.Good, row.Slow, row.Refused, row.Unknown, target, burn, left)
	}
	return table.Flush()
}

// WriteJSON writes r as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
