package medlarcommand

import (
	"github.com/spf13/cobra"

	"medlarwheel/medlarburn"
	"medlarwheel/medlaroperator"
)

func newReportCommand(o *operatorOptions) *cobra.Command {
	command := &cobra.Command{Use: "report", Short: "Show reports over all entry instances", Example: "  medlarwheel report burn"}
	command.AddCommand(&cobra.Command{
		Use:     "burn",
		Short:   "Show how fast each template and client account uses up its error budget",
		Example: "  medlarwheel report burn --output json",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			report, err := medlaroperator.Get[medlarburn.Report](o.client(), medlaroperator.PathBurn)
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
