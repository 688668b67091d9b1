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

// EnvironmentPrefix is the prefix of the environment variables of medlarstandin.
const EnvironmentPrefix = "MEDLARSTANDIN_"

// ApplyEnvironment sets each flag that is not on the command line from its environment variable, for example
// --service-time from MEDLARSTANDIN_SERVICE_TIME.
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
			failure = fmt.Errorf("environment variable %s for flag --%s: %w", name, f.Name, err)
		}
	})
	return failure
}

// NewLogger returns a logger that writes one JSON line for each event.
func NewLogger(w io.Writer) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).With().Timestamp().Logger()
}
