package medlarcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"medlarwheel"
	"medlarwheel/medlaroperator"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitBadInput    = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitUnknown     = 6
)

// Environment variables of the operator commands.
const (
	entriesVariable     = "MEDLARWHEEL_ENTRY"
	operatorKeyVariable = "MEDLARWHEEL_OPERATOR_KEY"
	authorVariable      = "MEDLARWHEEL_AUTHOR"
)

// operatorOptions holds the flags that all operator commands share.
type operatorOptions struct {
	entries []string
	output  string
	author  string
}

func (o *operatorOptions) client() *medlaroperator.Client {
	return medlaroperator.NewClient(medlaroperator.ClientConfig{
		Addresses: o.entries, OperatorKey: os.Getenv(operatorKeyVariable),
	})
}

// Run executes the command line and returns the exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "error:", err)
	}
	return exitCode(err)
}

func newRootCommand() *cobra.Command {
	o := &operatorOptions{}
	root := &cobra.Command{
		Use:   "medlarwheel",
		Short: "Scheduler for colocated latency-critical and batch work",
		Long: "medlarwheel runs an instance, or operates the system through any entry instance.\n\n" +
			"Exit codes: 0 success, 1 failure, 2 invalid input or usage, 3 conflict with another operator's change, 4 not found,\n" +
			"5 no entry instance reachable or platform unavailable, 6 the change may or may not have taken effect.",
		Example:       "  medlarwheel template list --entry 127.0.0.1:7000",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       Version,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringSliceVar(&o.entries, "entry", defaultEntries(), "addresses of entry instances (environment "+entriesVariable+")")
	flags.StringVarP(&o.output, "output", "o", outputTable, "output format: table or json")
	flags.StringVar(&o.author, "author", os.Getenv(authorVariable), "name of the operator (environment "+authorVariable+")")
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return checkOutputFormat(o.output) }
	root.AddCommand(
		newEntryCommand(), newEdgeCommand(), newExplainCommand(), newTemplateCommand(o), newAccountCommand(o), newMemberCommand(o), newUpstreamCommand(o),
		newJobCommand(o), newWorkerCommand(o), newTaskCommand(o), newDrainCommand(o), newReportCommand(o), newCheckCommand(), newSettingsCommand(o), newVersionCommand(o),
	)
	return root
}

func defaultEntries() []string {
	if value, ok := os.LookupEnv(entriesVariable); ok {
		return strings.Split(value, ",")
	}
	return []string{"127.0.0.1:7000"}
}

// usageError marks errors in the use of the command line.
type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var usage usageError
	var faults medlarwheel.Faults
	if errors.As(err, &usage) || errors.As(err, &faults) {
		return ExitBadInput
	}
	var response *medlaroperator.Error
	if !errors.As(err, &response) {
		return ExitFailure
	}
	return exitCodeOfResponse(response.Code)
}

func exitCodeOfResponse(code medlaroperator.Code) int {
	switch code {
	case medlaroperator.CodeBadInput:
		return ExitBadInput
	case medlaroperator.CodeConflict:
		return ExitConflict
	case medlaroperator.CodeNotFound:
		return ExitNotFound
	case medlaroperator.CodeUnavailable:
		return ExitUnavailable
	case medlaroperator.CodeOutcomeUnknown:
		return ExitUnknown
	default:
		return ExitFailure
	}
}
