package medlarcommand

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"medlarwheel/medlarsetting"
)

// Version is the version of the program. The build may set it with a linker flag.
var Version = "0.1.0"

func newCheckCommand() *cobra.Command {
	command := &cobra.Command{
		Use: "check", Short: "Check settings, templates and client accounts without changing anything",
		Example: "  medlarwheel check template hold.json",
	}
	command.AddCommand(newCheckSettingsCommand(), newCheckFileCommand(templateKind()), newCheckFileCommand(accountKind()))
	return command
}

func newCheckFileCommand(kind configKind) *cobra.Command {
	return &cobra.Command{
		Use:     kind.noun + " FILE",
		Short:   "Check a JSON file with a " + kind.noun + " and list all errors",
		Example: fmt.Sprintf("  medlarwheel check %s file.json", kind.noun),
		Args:    exactArguments(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			name, _, err := kind.readFile(arguments[0], c.InOrStdin())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s %s is valid\n", kind.noun, name)
			return err
		},
	}
}

func newCheckSettingsCommand() *cobra.Command {
	loader := medlarsetting.NewLoader()
	command := &cobra.Command{
		Use:     "settings",
		Short:   "Check the settings of an entry instance and list all errors",
		Example: "  MEDLARWHEEL_SYSTEM_KEY=0123456789abcdef medlarwheel check settings --data-centre qld-1 --data-centres qld-1",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := loader.Load(os.LookupEnv); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "settings are valid")
			return err
		},
	}
	loader.BindFlags(command.Flags())
	return command
}

func newSettingsCommand(o *operatorOptions) *cobra.Command {
	loader := medlarsetting.NewLoader()
	command := &cobra.Command{
		Use:     "settings",
		Short:   "List the settings of an entry instance with their values and sources",
		Example: "  medlarwheel settings --output json",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			_, loadErr := loader.Load(os.LookupEnv)
			readable := table{header: []string{"SETTING", "VALUE", "SOURCE", "ENVIRONMENT", "MEANING"}}
			for _, e := range loader.ResolvedSettings() {
				readable.rows = append(readable.rows, []string{e.Name, e.Value, string(e.Source), e.Environment, e.Help})
			}
			if err := writeValue(c.OutOrStdout(), o.output, loader.ResolvedSettings(), readable); err != nil {
				return err
			}
			return loadErr
		},
	}
	loader.BindFlags(command.Flags())
	return command
}

func newVersionCommand(o *operatorOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  medlarwheel version",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			value := struct {
				Version string `json:"version"`
			}{Version}
			return writeValue(c.OutOrStdout(), o.output, value, table{header: []string{"VERSION"}, rows: [][]string{{Version}}})
		},
	}
}
