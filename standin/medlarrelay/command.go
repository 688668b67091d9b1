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

// Command returns the subcommand that runs the relay.
func Command() *cobra.Command {
	var listen, targets []string
	var control string
	command := &cobra.Command{
		Use:   "relay",
		Short: "Relay TCP connections with injected stalls, cuts and delays",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), medlarprocess.NewLogger(c.ErrOrStderr()), listen, targets, control)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&listen, "listen", nil, "IP addresses and ports to listen on, one for each route")
	flags.StringSliceVar(&targets, "to", nil, "IP addresses and ports of the targets, one for each route")
	flags.StringVar(&control, "control", "127.0.0.1:9000", "IP address and port of the control API (/faults)")
	return command
}

func run(ctx context.Context, log zerolog.Logger, listen, targets []string, control string) error {
	if len(listen) == 0 || len(listen) != len(targets) {
		return fmt.Errorf("relay: got %d listen addresses (--listen) and %d targets (--to), expected one of each for every route",
			len(listen), len(targets))
	}
	var routes Routes
	defer func() { routes.Close() }()
	for i := range listen {
		r, err := New(listen[i], targets[i], log)
		if err != nil {
			return err
		}
		routes = append(routes, r)
	}
	return medlarprocess.Serve(ctx, log, control, routes.Handle)
}

// Routes are relays that share one control API.
type Routes []*Relay

// Close stops all relays and closes their connections.
func (r Routes) Close() {
	for _, route := range r {
		route.Close()
	}
}

// Handle serves one request to the control API.
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

// set applies f to the route that f names, or to all routes.
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
