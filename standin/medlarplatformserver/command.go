package medlarplatformserver

import (
	"github.com/spf13/cobra"

	"medlarwheel/standin/medlarprocess"
)

// Command returns the subcommand that serves the platform.
func Command() *cobra.Command {
	config := DefaultConfig()
	var listen string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Serve the table, the object store and the list of instances",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log := medlarprocess.NewLogger(c.ErrOrStderr())
			return medlarprocess.Serve(c.Context(), log, listen, New(config, log).Handle)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7700", "IP number and port to serve at")
	flags.IntVar(&config.WritesPerSecond, "writes-per-second", config.WritesPerSecond, "cap of writes, 0 for none")
	flags.IntVar(&config.ReadsPerSecond, "reads-per-second", config.ReadsPerSecond, "cap of reads, 0 for none")
	flags.DurationVar(&config.RegistryLag, "list-lag", config.RegistryLag, "time until a change of the list is visible")
	return command
}
