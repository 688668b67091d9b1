// Package medlarcommand is the command line of medlarwheel.
//
// # Usage
//
//	os.Exit(medlarcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
package medlarcommand

import (
	"io"

	"github.com/spf13/cobra"
)

// Run executes the command line and returns the exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:          "medlarwheel",
		Short:        "Scheduler for colocated latency-critical and batch work",
		SilenceUsage: true,
	}
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		return 1
	}
	return 0
}
