package medlarcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func checkOutputFormat(format string) error {
	if format == outputTable || format == outputJSON {
		return nil
	}
	return usageError{errors.Errorf("--output: %q is not accepted; accepted: table or json", format)}
}

// table is a value in readable form.
type table struct {
	header []string
	rows   [][]string
}

// writeValue writes value as JSON or as a table.
func writeValue(w io.Writer, format string, value any, readable table) error {
	if format == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(out, strings.Join(readable.header, "\t")); err != nil {
		return err
	}
	for _, row := range readable.rows {
		if _, err := fmt.Fprintln(out, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return out.Flush()
}
