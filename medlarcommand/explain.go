package medlarcommand

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/operation/medlartimeline"
)

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID [LOG...]",
		Short:   "Print the timeline of a submission from the logs of all instances (standard input if no LOG is given)",
		Example: "  cat edge-*.log | medlarwheel explain 5c0e7a21d94b36f8",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			id := medlarsubmission.ID(arguments[0])
			if !id.IsValid() {
				return medlarwheel.Faults{}.Add("ID", id, "16 hexadecimal digits")
			}
			logs := []io.Reader{c.InOrStdin()}
			if len(arguments) > 1 {
				logs = logs[:0]
			}
			for _, path := range arguments[1:] {
				file, err := os.Open(path)
				if err != nil {
					return medlarwheel.WithOperation("open log", path, err)
				}
				defer func() { _ = file.Close() }()
				logs = append(logs, file)
			}
			timeline, err := medlartimeline.Read(id, logs...)
			if err != nil {
				return err
			}
			return timeline.Print(c.OutOrStdout())
		},
	}
}
