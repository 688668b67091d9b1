package medlarcommand

import (
	"github.com/spf13/cobra"

	"medlarwheel/medlarburnrate"
	"medlarwheel/medlaroperator"
)

func newReportCommand(o *operatorOptions) *cobra.Command {
	command := &cobra.Command{Use: "report", Short: "Show reports on all entry instances", Example: "  medlarwheel report burn"}
	command.AddCommand(&cobra.Command{
		Use:     "burn",
		Short:   "Show the error budget burn rate of each template and client account",
		Example: "  medlarwheel report burn --output json",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			report, err := medlaroperator.Get[medlarburnrate.Report](o.client(), medlaroperator.PathBurnRate)
			if err != nil {
				return err
			}
			if o.output == outputJSON {
				return writeValue(c.OutOrStdout(), outputJSON, report, table{})
			}
			return report.WriteTable(c.OutOrStdout())
		},
	})
	return command
}
