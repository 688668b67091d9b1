package medlarcommand

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"medlarwheel"
	"medlarwheel/medlarentry"
	"medlarwheel/medlarsetting"
)

func newEntryCommand() *cobra.Command {
	loader := medlarsetting.NewLoader()
	command := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry instance until SIGTERM or SIGINT, then stop gracefully",
		Example: "  MEDLARWHEEL_SYSTEM_KEY=0123456789abcdef medlarwheel entry --instance entry-1 --data-centre qld-1 \\\n" +
			"    --data-centres qld-1,qld-2 --listen 127.0.0.1:7000 --listen-peer 127.0.0.1:7100 --platform 127.0.0.1:7700",
		Args: exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := loader.Load(os.LookupEnv)
			if err != nil {
				return err
			}
			log, err := medlarentry.NewLogger(settings.LogLevel)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return medlarentry.New(settings, log, medlarwheel.SystemClock{}).Run(ctx)
		},
	}
	loader.BindFlags(command.Flags())
	return command
}
