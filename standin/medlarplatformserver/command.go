package medlarplatformserver

import (
	"github.com/spf13/cobra"

	"medlarwheel/standin/medlarprocess"
)

// Command returns the subcommand that runs the platform's test double.
func Command() *cobra.Command {
	config := DefaultConfig()
	var listen string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's table, object store and instance registry from memory",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log := medlarprocess.NewLogger(c.ErrOrStderr())
			return medlarprocess.Serve(c.Context(), log, listen, New(config, log).Handle)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7700", "IP address and port to listen on")
	flags.IntVar(&config.WritesPerSecond, "writes-per-second", config.WritesPerSecond, "rate limit of writes, 0 for none")
	flags.IntVar(&config.ReadsPerSecond, "reads-per-second", config.ReadsPerSecond, "rate limit of reads, 0 for none")
	flags.DurationVar(&config.RegistryLag, "list-lag", config.RegistryLag,
		"time until readers see a change of the instance registry")
	return command
}
