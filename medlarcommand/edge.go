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
	"medlarwheel/platform"
)

func newEdgeCommand() *cobra.Command {
	var path string
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
			config := medlarnode.DefaultConfig(site)
			debug.SetMemoryLimit(int64(float64(site.MemoryMB<<20) * config.MemoryShare))
			writer := medlarlog.NewWriter(c.OutOrStdout(), medlarlog.DefaultConfig())
			defer writer.Close()
			log := zerolog.New(writer).With().Timestamp().Str("instance", string(site.Instance)).Logger()
			node, err := medlarnode.New(config, log, medlarmeter.New())
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
	command.Flags().StringVar(&path, "node-file", os.Getenv(platform.SiteVariable), "settings file of the platform (environment "+platform.SiteVariable+")")
	return command
}
