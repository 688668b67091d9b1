package medlarcommand

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"medlarwheel/medlaroperator"
)

func newMemberCommand(o *operatorOptions) *cobra.Command {
	command := &cobra.Command{Use: "member", Short: "Inspect entry instances", Example: "  medlarwheel member list"}
	command.AddCommand(&cobra.Command{
		Use:     "list",
		Short:   "List the entry instances as the asked instance sees them",
		Example: "  medlarwheel member list --entry 127.0.0.1:7001",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := medlaroperator.Get[medlaroperator.MemberList](o.client(), medlaroperator.PathMembers)
			if err != nil {
				return err
			}
			readable := table{header: []string{"INSTANCE", "DATA CENTRE", "PEER ADDRESS", "INCARNATION", "STATUS"}}
			for _, m := range list.Members {
				readable.rows = append(readable.rows, []string{
					string(m.ID), string(m.DataCentre), m.PeerAddress, strconv.FormatUint(uint64(m.Incarnation), 10), m.Status,
				})
			}
			return writeValue(c.OutOrStdout(), o.output, list, readable)
		},
	})
	return command
}

func newUpstreamCommand(o *operatorOptions) *cobra.Command {
	command := &cobra.Command{Use: "upstream", Short: "Inspect upstreams", Example: "  medlarwheel upstream list"}
	command.AddCommand(&cobra.Command{
		Use:     "list",
		Short:   "List the upstreams as the asked instance sees them",
		Example: "  medlarwheel upstream list --output json",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := medlaroperator.Get[medlaroperator.UpstreamList](o.client(), medlaroperator.PathUpstreams)
			if err != nil {
				return err
			}
			readable := table{header: []string{"UPSTREAM", "SERVICE", "DATA CENTRE", "STATE", "HEALTHY", "IN FLIGHT", "OWN SLOTS", "CONNECTIONS"}}
			for _, u := range list.Upstreams {
				readable.rows = append(readable.rows, []string{
					string(u.ID), string(u.Service), string(u.DataCentre), string(u.State), fmt.Sprint(u.Healthy),
					fmt.Sprint(u.InFlight), fmt.Sprint(u.OwnSlots), fmt.Sprint(u.Connections),
				})
			}
			return writeValue(c.OutOrStdout(), o.output, list, readable)
		},
	})
	return command
}

func newDrainCommand(o *operatorOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "drain",
		Short:   "Ask the first given entry instance to stop gracefully",
		Example: "  medlarwheel drain --entry 127.0.0.1:7001",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			one := *o
			one.entries = o.entries[:min(1, len(o.entries))]
			_, err := medlaroperator.Post[struct{}](one.client(), medlaroperator.PathDrain, nil)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), "draining")
			return err
		},
	}
}
