package medlarprocess

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// EnvironmentPrefix starts the name of every environment variable of the stand-ins.
const EnvironmentPrefix = "MEDLARSTANDIN_"

// ApplyEnvironment sets each flag that the command line left out from its environment variable: --service-time from
// MEDLARSTANDIN_SERVICE_TIME.
func ApplyEnvironment(command *cobra.Command) error {
	var failure error
	command.Flags().VisitAll(func(f *pflag.Flag) {
		if f.Changed || failure != nil {
			return
		}
		name := EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		value, ok := os.LookupEnv(name)
		if !ok {
			return
		}
		if err := command.Flags().Set(f.Name, value); err != nil {
			failure = fmt.Errorf("environment variable %s: %w", name, err)
		}
	})
	return failure
}

// NewLogger returns a logger that writes one line for each event.
func NewLogger(w io.Writer) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).With().Timestamp().Logger()
}
