// Command medlarstandin runs test doubles of the systems that medlarwheel uses: the platform, runners and worker agents. It
// also runs a relay that injects network faults between processes, and a load generator. Every flag can also be set by an
// environment variable with the prefix MEDLARSTANDIN_.
//
// # Usage
//
//	medlarstandin platform --listen 127.0.0.1:7700
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"medlarwheel/standin/medlaragent"
	"medlarwheel/standin/medlarload"
	"medlarwheel/standin/medlarplatformserver"
	"medlarwheel/standin/medlarprocess"
	"medlarwheel/standin/medlarrelay"
	"medlarwheel/standin/medlarrunner"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{
		Use:               "medlarstandin",
		Short:             "Test doubles of the platform, runners and worker agents, a relay for network faults, and a load generator",
		SilenceUsage:      true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error { return medlarprocess.ApplyEnvironment(c) },
	}
	root.AddCommand(medlarplatformserver.Command(), medlarrunner.Command(), medlarrelay.Command(), medlaragent.Command(),
		medlarload.Command())
	if err := root.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}
