package medlarcommand

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"medlarwheel/internal/operation/medlarlog"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/operation/medlarnode"
	"medlarwheel/internal/operation/medlartuning"
	"medlarwheel/platform"
)

// startCPUProfile writes a CPU profile to the file until the returned function is called.
func startCPUProfile(path string) (stop func(), err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create CPU profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Wrapf(err, "start CPU profile %s", path)
	}
	return func() {
		pprof.StopCPUProfile()
		if err := file.Close(); err != nil {
			fmt.Fprintln(os.Stderr, errors.Wrapf(err, "close CPU profile %s", path))
		}
	}, nil
}

// logTimeFormat includes milliseconds, so that the events of one submission can be ordered.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func newEdgeCommand() *cobra.Command {
	var path, profile string
	var list bool
	set := medlartuning.New()
	command := &cobra.Command{
		Use:     "edge",
		Short:   "Run an instance on the users' platform until SIGTERM or SIGINT, then stop gracefully",
		Example: "  " + platform.SettingsVariable + "=/etc/medlarwheel/settings.toml medlarwheel edge",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			config := medlartuning.Config{Node: medlarnode.DefaultConfig(settings), Log: medlarlog.DefaultConfig()}
			if err := set.Apply(&config, os.LookupEnv); err != nil {
				return err
			}
			if list {
				return set.List(&config, c.OutOrStdout())
			}
			debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * config.Node.MemoryLimitFraction))
			writer := medlarlog.NewWriter(c.OutOrStdout(), config.Log)
			defer writer.Close()
			zerolog.TimeFieldFormat = logTimeFormat
			log := zerolog.New(writer).With().Timestamp().Str("instance", string(settings.Instance)).Logger()
			node, err := medlarnode.New(config.Node, log, medlarmetrics.New())
			if err != nil {
				return err
			}
			if profile != "" {
				stopProfile, err := startCPUProfile(profile)
				if err != nil {
					return err
				}
				defer stopProfile()
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
	command.Flags().StringVar(&profile, "cpu-profile", "", "file for a CPU profile of the whole run")
	command.Flags().BoolVar(&list, "list-settings", false, "check all settings, print them with their units, ranges and values, and exit")
	command.Flags().StringVar(&path, "node-file", os.Getenv(platform.SettingsVariable), "settings file that the platform provides (environment "+platform.SettingsVariable+")")
	return command
}
