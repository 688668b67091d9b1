package medlarload

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"medlarwheel/standin/medlarprocess"
)

// Command returns the subcommand that generates load, with its subcommand for the baseline.
func Command() *cobra.Command {
	command := loadCommand("load", "Send an open-loop load to entry instances and audit the runners", "entries", false)
	command.AddCommand(loadCommand("direct", "Send an open-loop load to runners, without entry instances", "targets", true))
	return command
}

var errAuditFailed = errors.New("the audit found broken guarantees")

func loadCommand(use, short, targets string, direct bool) *cobra.Command {
	config := DefaultConfig()
	config.Direct = direct
	var mix []string
	var format string
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, text := range mix {
				kind, err := ParseRequestKind(text)
				if err != nil {
					return err
				}
				config.Mix = append(config.Mix, kind)
			}
			report, err := Run(c.Context(), config, medlarprocess.NewLogger(c.ErrOrStderr()))
			if err != nil {
				return err
			}
			return writeReport(c.OutOrStdout(), &report, format, direct)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&config.Targets, targets, nil, "IP numbers and ports to send to")
	flags.StringSliceVar(&config.Runners, "runners", nil, "control addresses of all runners, to audit their ledgers")
	flags.StringArrayVar(&mix, "mix", nil, "kind of request: template=T,account=A,method=POST,keys=plain,weight=1")
	flags.Float64Var(&config.Rate, "rate", config.Rate, "requests a second")
	flags.DurationVar(&config.Duration, "duration", config.Duration, "time during which requests become due")
	flags.IntVar(&config.MaxRequests, "max-requests", config.MaxRequests, "bound on the number of requests")
	flags.IntVar(&config.MaxInFlight, "max-in-flight", config.MaxInFlight, "bound on the requests under way")
	flags.DurationVar(&config.Deadline, "deadline", config.Deadline, "time that a caller gives to each call")
	flags.DurationVar(&config.Grace, "grace", config.Grace, "time that a caller waits beyond the deadline")
	flags.IntVar(&config.Retries, "retries", config.Retries, "bound on the calls after the first one of a request")
	flags.DurationVar(&config.RetryWindow, "retry-window", config.RetryWindow, "time after which nothing is retried")
	flags.IntVar(&config.BodyBytes, "body", config.BodyBytes, "bytes in the body of a request")
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "start of the random choices")
	flags.StringVar(&format, "format", "both", "table, json or both")
	return command
}

// writeReport writes the report in the named format. It returns an error when the audit found something.
func writeReport(w io.Writer, report *Report, format string, direct bool) error {
	switch format {
	case "both", "table", "json":
	default:
		return fmt.Errorf("format %q is not table, json or both", format)
	}
	if format != "json" {
		if err := report.WriteTable(w); err != nil {
			return err
		}
	}
	if format != "table" {
		if err := report.WriteJSON(w); err != nil {
			return err
		}
	}
	if report.Audit != nil && !report.Audit.Passed(direct) {
		return errAuditFailed
	}
	return nil
}
