package medlarrelay

import (
	"context"
	"errors"
	"fmt"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/standin/medlarprocess"
)

// Command returns the subcommand that relays.
func Command() *cobra.Command {
	var listen, to []string
	var control string
	command := &cobra.Command{
		Use:   "relay",
		Short: "Relay TCP connections, with silence, cuts and delays",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), medlarprocess.NewLogger(c.ErrOrStderr()), listen, to, control)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&listen, "listen", nil, "IP numbers and ports to listen at, one for each route")
	flags.StringSliceVar(&to, "to", nil, "IP numbers and ports to relay to, one for each route")
	flags.StringVar(&control, "control", "127.0.0.1:9000", "IP number and port for /faults")
	return command
}

func run(ctx context.Context, log zerolog.Logger, listen, to []string, control string) error {
	if len(listen) == 0 || len(listen) != len(to) {
		return fmt.Errorf("%d listen addresses and %d targets; one of each is needed for every route", len(listen), len(to))
	}
	var routes Routes
	defer func() { routes.Close() }()
	for i := range listen {
		r, err := New(listen[i], to[i], log)
		if err != nil {
			return err
		}
		routes = append(routes, r)
	}
	return medlarprocess.Serve(ctx, log, control, routes.Handle)
}

// Routes are relays under one control.
type Routes []*Relay

// Close ends all routes.
func (r Routes) Close() {
	for _, route := range r {
		route.Close()
	}
}

// Handle answers one control request.
func (r Routes) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/faults" {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	if ctx.IsPost() {
		f, err := medlarwheel.Decode[Faults](ctx.PostBody())
		if err == nil {
			err = r.set(f)
		}
		if err != nil {
			medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
			return
		}
	}
	states := make([]Status, 0, len(r))
	for _, route := range r {
		states = append(states, route.Status())
	}
	medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, states)
}

var errNoRoute = errors.New("no route has this listen address")

// set changes the routes that f names.
func (r Routes) set(f Faults) error {
	err := errNoRoute
	for _, route := range r {
		if f.Route == "" || f.Route == route.Address() {
			if err = route.SetFaults(f); err != nil {
				return err
			}
		}
	}
	return err
}
