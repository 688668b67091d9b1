package medlaragent

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarplatform"
	"medlarwheel/standin/medlarprocess"
)

// announcementStore is the part of the platform that announcements need.
type announcementStore interface {
	Row(ctx context.Context, key string) (medlarwheel.Row, error)
	Transact(ctx context.Context, op medlarwheel.OperationID, writes []medlarwheel.Write) (medlarwheel.Commit, error)
}

// Command returns the subcommand that runs an agent.
func Command() *cobra.Command {
	config := DefaultConfig()
	command := &cobra.Command{
		Use:   "agent",
		Short: "Simulate a worker that runs tasks under leases",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := config.check().Err(); err != nil {
				return err
			}
			return run(c.Context(), config, medlarprocess.NewLogger(c.ErrOrStderr()))
		},
	}
	flags := command.Flags()
	flags.StringVar(&config.Listen, "listen", config.Listen, "IP number and port to serve at")
	flags.StringVar((*string)(&config.ID), "id", "", "name of the worker")
	flags.StringVar((*string)(&config.Rack), "rack", string(config.Rack), "rack of the worker")
	flags.StringVar((*string)(&config.DataCentre), "data-centre", string(config.DataCentre), "data centre of the worker")
	flags.StringVar(&config.Platform, "platform", "", "IP number and port of the platform, empty for none")
	flags.Int64Var((*int64)(&config.Size.CPU), "milli-cpu", int64(config.Size.CPU), "processor in thousandths of a core")
	flags.Int64Var((*int64)(&config.Size.Memory), "memory-mb", int64(config.Size.Memory), "memory in units of 10^6 bytes")
	flags.Int64Var((*int64)(&config.Size.Accelerators), "accelerators", 0, "number of accelerators")
	flags.Float64Var(&config.EstimateError, "size-error", 0, "share by which true needs and run times differ from declared ones")
	flags.Float64Var(&config.Interference, "interference", 0, "share of speed that a task loses to one of a bad pair")
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "start of the random choices, the same for all agents")
	flags.DurationVar(&config.UsageInterval, "usage-every", config.UsageInterval, "time between measurements")
	flags.DurationVar(&config.UsageLag, "usage-lag", config.UsageLag, "age at which a measurement is reported")
	flags.DurationVar(&config.DrainTime, "drain", config.DrainTime, "time between the announcement of leaving and the end")
	return command
}

// run serves until ctx ends. Then it announces that it leaves, serves on for the drain time and stops all tasks.
func run(ctx context.Context, config Config, log zerolog.Logger) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", config.Listen, err)
	}
	var a *Agent
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(serving)
	if config.Platform == "" {
		a = New(config, nil, log)
	} else {
		client := medlarplatform.New(medlarplatform.DefaultConfig(config.Platform))
		defer client.Close()
		a = New(config, client, log)
		group.Go(func() error { a.announce(inner, ctx.Done(), client, listener.Addr().String()); return nil })
	}
	group.Go(func() error { return medlarprocess.ServeListener(inner, listener, a.Handle) })
	group.Go(func() error { a.tick(inner); return nil })
	a.log.Info().Str("address", listener.Addr().String()).Msg("serving")
	select {
	case <-ctx.Done():
		a.withMachine(func(m *machine) { m.leaving = true })
		a.log.Info().Msg("leaving")
		medlarprocess.Sleep(inner.Done(), config.DrainTime)
	case <-inner.Done():
	}
	a.withMachine(func(m *machine) { m.stopAll() })
	stop()
	return group.Wait()
}

// tick looks at the leases in between calls, so that ends and measurements do not wait for the next call.
func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(a.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.withMachine(func(*machine) {})
		case <-ctx.Done():
			return
		}
	}
}

// announceRetryDelay is the time between two tries to write the announcement.
const announceRetryDelay = 500 * time.Millisecond

// announce keeps the worker's row up to date until ctx ends.
func (a *Agent) announce(ctx context.Context, leave <-chan struct{}, platform announcementStore, address string) {
	state := medlaragentapi.Announcement{
		ID: a.config.ID, Rack: a.config.Rack, DataCentre: a.config.DataCentre, Address: address, Size: a.config.Size,
		Incarnation: a.machine.incarnation, State: medlarwheel.StateLive,
	}
	operations := medlarplatform.NewOperationIDGenerator("agent."+medlarwheel.InstanceID(a.config.ID), a.machine.incarnation)
	for ctx.Err() == nil {
		if err := writeAnnouncement(ctx, platform, operations, state); err != nil {
			a.log.Warn().Err(err).Msg("announcement failed")
			medlarprocess.Sleep(ctx.Done(), announceRetryDelay)
			continue
		}
		select {
		case <-leave:
			state.State, leave = medlarwheel.StateLeaving, nil
		case <-ctx.Done():
		}
	}
}

// writeAnnouncement replaces the announcement, whatever its version.
func writeAnnouncement(ctx context.Context, platform announcementStore, operations *medlarplatform.OperationIDGenerator,
	state medlaragentapi.Announcement,
) error {
	key := medlaragentapi.AnnouncementKey(state.ID)
	row, err := platform.Row(ctx, key)
	if err != nil && !errors.Is(err, medlarwheel.ErrNotFound) {
		return err
	}
	value, err := json.Marshal(state)
	if err != nil {
		return err
	}
	_, err = platform.Transact(ctx, operations.Next(), []medlarwheel.Write{{Key: key, ExpectedVersion: row.Version, Value: value}})
	return err
}
