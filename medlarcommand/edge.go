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

// startCPUProfile writes a processor profile to the file until the returned function is called.
func startCPUProfile(path string) (stop func(), err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "processor profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Wrap(err, "processor profile")
	}
	return func() {
		pprof.StopCPUProfile()
		if err := file.Close(); err != nil {
			fmt.Fprintln(os.Stderr, errors.Wrap(err, "processor profile"))
		}
	}, nil
}

// logTimeFormat has milliseconds, in which the steps of a submission can be told apart.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func newEdgeCommand() *cobra.Command {
	var path, profile string
	var list bool
	set := medlartuning.New()
	command := &cobra.Command{
		Use:     "edge",
		Short:   "Run an instance on the users' platform until SIGTERM, then stop gracefully",
		Example: "  " + platform.SettingsVariable + "=/etc/medlarwheel/settings.toml medlarwheel edge",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			site, err := platform.LoadSettings(path)
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
			debug.SetMemoryLimit(int64(float64(site.MemoryMB<<20) * config.Node.MemoryLimitFraction))
			writer := medlarlog.NewWriter(c.OutOrStdout(), config.Log)
			defer writer.Close()
			zerolog.TimeFieldFormat = logTimeFormat
			log := zerolog.New(writer).With().Timestamp().Str("instance", string(site.Instance)).Logger()
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
	command.Flags().StringVar(&profile, "cpu-profile", "", "file to write a processor profile to, from the start until the stop")
	command.Flags().BoolVar(&list, "list-settings", false, "check all settings, print them with unit, range and value, and exit")
	command.Flags().StringVar(&path, "node-file", os.Getenv(platform.SettingsVariable), "settings file of the platform (environment "+platform.SettingsVariable+")")
	return command
}
