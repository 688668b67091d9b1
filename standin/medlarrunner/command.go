package medlarrunner

import (
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/standin/medlarprocess"
)

// Command returns the subcommand that runs a runner.
func Command() *cobra.Command {
	config := DefaultConfig()
	command := &cobra.Command{
		Use:   "runner",
		Short: "Serve requests as an upstream with slots, a ledger and faults",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := config.check().Err(); err != nil {
				return err
			}
			return New(config, medlarprocess.NewLogger(c.ErrOrStderr())).Run(c.Context())
		},
	}
	flags := command.Flags()
	flags.StringVar(&config.Listen, "listen", config.Listen, "IP number and port for requests")
	flags.StringVar(&config.Control, "control", "", "IP number and port for /ledger, /faults and /healthz, free of faults")
	flags.StringVar((*string)(&config.ID), "id", "", "name of the runner")
	flags.StringVar((*string)(&config.Service), "service", string(config.Service), "service that the runner belongs to")
	flags.StringVar((*string)(&config.DataCentre), "data-centre", string(config.DataCentre), "data centre of the runner")
	flags.StringVar(&config.Platform, "platform", "", "IP number and port of the platform, empty to register nowhere")
	flags.IntVar((*int)(&config.Slots), "slots", int(config.Slots), "requests served at a time")
	flags.IntVar((*int)(&config.MaxConnections), "connections", int(config.MaxConnections), "open connections")
	flags.DurationVar(&config.ServiceTime, "service-time", config.ServiceTime, "mean time to serve a request")
	flags.Float64Var(&config.ServiceTimeSpread, "spread", config.ServiceTimeSpread, "share by which the service time varies")
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "start of the random choices")
	flags.DurationVar(&config.DrainTime, "drain", config.DrainTime, "time between the announcement of leaving and the end")
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

// handleControlOnly answers control requests and nothing else.
func (r *Runner) handleControlOnly(ctx *fasthttp.RequestCtx) {
	if !r.HandleControl(ctx) {
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}
