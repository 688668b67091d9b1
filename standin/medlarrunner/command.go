package medlarrunner

import (
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/standin/medlarprocess"
)

// Command returns the subcommand that runs an upstream's test double.
func Command() *cobra.Command {
	config := DefaultConfig()
	command := &cobra.Command{
		Use:   "runner",
		Short: "Serve requests as an upstream with a fixed number of slots, a request ledger and fault injection",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := config.check().Err(); err != nil {
				return err
			}
			return New(config, medlarprocess.NewLogger(c.ErrOrStderr())).Run(c.Context())
		},
	}
	flags := command.Flags()
	flags.StringVar(&config.Listen, "listen", config.Listen, "IP address and port for requests")
	flags.StringVar(&config.Control, "control", "",
		"IP address and port for /ledger, /counters, /faults and /healthz, without limits and injected faults")
	flags.StringVar((*string)(&config.ID), "id", "", "name of the runner")
	flags.StringVar((*string)(&config.Service), "service", string(config.Service), "service that the runner belongs to")
	flags.StringVar((*string)(&config.DataCentre), "data-centre", string(config.DataCentre), "data centre of the runner")
	flags.StringVar(&config.Platform, "platform", "", "IP address and port of the platform, empty to skip registration")
	flags.IntVar((*int)(&config.Slots), "slots", int(config.Slots), "maximum number of concurrent requests")
	flags.IntVar((*int)(&config.MaxConnections), "connections", int(config.MaxConnections),
		"maximum number of open connections")
	flags.DurationVar(&config.ServiceTime, "service-time", config.ServiceTime, "mean service time of a request")
	flags.Float64Var(&config.ServiceTimeSpread, "spread", config.ServiceTimeSpread,
		"fraction by which the service time varies up and down")
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of the random choices")
	flags.DurationVar(&config.DrainTime, "drain", config.DrainTime,
		"time between announcing that the runner leaves and closing its listener")
	return command
}

func (c *Config) check() medlarwheel.Faults {
	faults := medlarwheel.CheckName("id", string(c.ID))
	faults = append(faults, medlarwheel.CheckName("service", string(c.Service))...)
	faults = append(faults, medlarwheel.CheckName("data-centre", string(c.DataCentre))...)
	faults = append(faults, medlarwheel.CheckAddress("listen", c.Listen)...)
	faults = faults.CheckRange("slots", int64(c.Slots), 1, 1<<16)
	return faults.CheckRange("connections", int64(c.MaxConnections), 1, 1<<16)
}

// handleControlOnly serves control requests and responds to all others with status 404.
func (r *Runner) handleControlOnly(ctx *fasthttp.RequestCtx) {
	if !r.HandleControl(ctx) {
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}
