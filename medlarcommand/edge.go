package medlarcommand

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"medlarwheel/internal/operation/medlarlog"
	"medlarwheel/internal/operation/medlarmeter"
	"medlarwheel/internal/operation/medlarnode"
	"medlarwheel/internal/operation/medlartuning"
	"medlarwheel/platform"
)

// logTimeFormat has milliseconds, in which the steps of a submission can be told apart.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func newEdgeCommand() *cobra.Command {
	var path string
	var list bool
	set := medlartuning.New()
	command := &cobra.Command{
		Use:     "edge",
		Short:   "Run an instance on the users' platform until SIGTERM, then stop gracefully",
		Example: "  " + platform.SiteVariable + "=/etc/medlarwheel/settings.toml medlarwheel edge",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			site, err := platform.LoadSite(path)
			if err != nil {
				return err
			}
			config := medlartuning.Config{Node: medlarnode.DefaultConfig(site), Log: medlarlog.DefaultConfig()}
			if err := set.Apply(&config, os.LookupEnv); err != nil {
				return err
			}
			if list {
				return set.List(&config, c.OutOrStdout())
			}
			debug.SetMemoryLimit(int64(float64(site.MemoryMB<<20) * config.Node.MemoryShare))
			writer := medlarlog.NewWriter(c.OutOrStdout(), config.Log)
			defer writer.Close()
			zerolog.TimeFieldFormat = logTimeFormat
			log := zerolog.New(writer).With().Timestamp().Str("instance", string(site.Instance)).Logger()
			node, err := medlarnode.New(config.Node, log, medlarmeter.New())
			if err != nil {
				return err
			}
			reloads := make(chan os.Signal, 1)
			signal.Notify(reloads, syscall.SIGHUP)
			defer signal.Stop(reloads)
			go node.Reload(reloads, path)
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return node.Run(ctx)
		},
	}
	set.Bind(command.Flags())
	command.Flags().BoolVar(&list, "list-settings", false, "check all settings, print them with unit, range and value, and exit")
	command.Flags().StringVar(&path, "node-file", os.Getenv(platform.SiteVariable), "settings file of the platform (environment "+platform.SiteVariable+")")
	return command
}
