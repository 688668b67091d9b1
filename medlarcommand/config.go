package medlarcommand

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"medlarwheel"
	"medlarwheel/medlaroperator"
)

// watchPollWait is the wait of one long poll of the watch command.
const watchPollWait = 20 * time.Second

// configKind describes a kind of configuration item, templates or client accounts, to the commands that handle both.
type configKind struct {
	noun string
	path string
	// decode checks the JSON text of an item and returns its name.
	decode func(data []byte) (name string, err error)
}

// readFile reads and checks an item from a file, or from standard input if the file name is -.
func (k configKind) readFile(file string, stdin io.Reader) (name string, data []byte, err error) {
	if data, err = readInput(file, stdin); err != nil {
		return "", nil, err
	}
	name, err = k.decode(data)
	return name, data, err
}

func templateKind() configKind {
	return configKind{noun: "template", path: medlaroperator.PathTemplates, decode: func(data []byte) (string, error) {
		t, err := medlarwheel.DecodeTemplate(data)
		return string(t.Name), err
	}}
}

func accountKind() configKind {
	return configKind{noun: "account", path: medlaroperator.PathAccounts, decode: func(data []byte) (string, error) {
		a, err := medlarwheel.DecodeAccount(data)
		return string(a.ID), err
	}}
}

func newTemplateCommand(o *operatorOptions) *cobra.Command {
	command := newConfigKindCommand(o, templateKind(), "publish")
	command.AddCommand(newWatchCommand(o))
	return command
}

func newAccountCommand(o *operatorOptions) *cobra.Command {
	return newConfigKindCommand(o, accountKind(), "set")
}

func newConfigKindCommand(o *operatorOptions, kind configKind, verb string) *cobra.Command {
	command := &cobra.Command{
		Use:     kind.noun,
		Short:   "Publish, list, show and withdraw " + kind.noun + "s",
		Example: fmt.Sprintf("  medlarwheel %s list", kind.noun),
	}
	command.AddCommand(newPutCommand(o, kind, verb), newListCommand(o, kind), newShowCommand(o, kind), newWithdrawCommand(o, kind))
	return command
}

func newPutCommand(o *operatorOptions, kind configKind, verb string) *cobra.Command {
	var expected uint64
	command := &cobra.Command{
		Use:     verb + " FILE",
		Short:   "Publish a " + kind.noun + " from a JSON file, or from standard input if FILE is -",
		Example: fmt.Sprintf("  medlarwheel %s %s hold.json --author ada --expected 0", kind.noun, verb),
		Args:    exactArguments(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			name, data, err := kind.readFile(arguments[0], c.InOrStdin())
			if err != nil {
				return err
			}
			publish, err := o.publishOptions(expected)
			if err != nil {
				return err
			}
			published, err := o.client().Put(kind.path, name, data, publish)
			if err != nil {
				return err
			}
			return writePublished(c.OutOrStdout(), o, published)
		},
	}
	command.Flags().Uint64Var(&expected, "expected", 0, "version that the change replaces; 0 means that the item must not exist")
	return command
}

func newWithdrawCommand(o *operatorOptions, kind configKind) *cobra.Command {
	var expected uint64
	command := &cobra.Command{
		Use:     "withdraw NAME",
		Short:   "Withdraw a " + kind.noun,
		Example: fmt.Sprintf("  medlarwheel %s withdraw hut-hold --author ada --expected 7", kind.noun),
		Args:    exactArguments(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			publish, err := o.publishOptions(expected)
			if err != nil {
				return err
			}
			published, err := o.client().Withdraw(kind.path, arguments[0], publish)
			if err != nil {
				return err
			}
			return writePublished(c.OutOrStdout(), o, published)
		},
	}
	command.Flags().Uint64Var(&expected, "expected", 0, "version of the item to withdraw")
	return command
}

func newListCommand(o *operatorOptions, kind configKind) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the current " + kind.noun + "s",
		Example: fmt.Sprintf("  medlarwheel %s list --output json", kind.noun),
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := medlaroperator.Get[medlaroperator.ConfigList](o.client(), kind.path)
			if err != nil {
				return err
			}
			readable := table{header: []string{"KEY", "VERSION", "AUTHOR"}}
			for i := range list.Items {
				readable.rows = append(readable.rows, configItemRow(&list.Items[i]))
			}
			return writeValue(c.OutOrStdout(), o.output, list, readable)
		},
	}
}

func newShowCommand(o *operatorOptions, kind configKind) *cobra.Command {
	return &cobra.Command{
		Use:     "show NAME",
		Short:   "Show a " + kind.noun + " as JSON",
		Example: fmt.Sprintf("  medlarwheel %s show hut-hold", kind.noun),
		Args:    exactArguments(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			item, err := o.client().Item(kind.path, arguments[0])
			if err != nil {
				return err
			}
			return writeValue(c.OutOrStdout(), outputJSON, item, table{})
		},
	}
}

func newWatchCommand(o *operatorOptions) *cobra.Command {
	var after uint64
	var count int
	command := &cobra.Command{
		Use:     "watch",
		Short:   "Print configuration changes as they take effect",
		Example: "  medlarwheel template watch --after 12",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return watchConfig(c.OutOrStdout(), o, medlarwheel.ConfigVersion(after), count)
		},
	}
	command.Flags().Uint64Var(&after, "after", 0, "print only changes after this version")
	command.Flags().IntVar(&count, "count", 0, "exit after this many changes; 0 means no limit")
	return command
}

// watchConfig prints configuration changes after a version until it has printed count of them, or forever if count is 0.
func watchConfig(w io.Writer, o *operatorOptions, after medlarwheel.ConfigVersion, count int) error {
	client := o.client()
	for printed := 0; count == 0 || printed < count; {
		delta, err := client.Watch(after, watchPollWait)
		if err != nil {
			return err
		}
		for i := range delta.Items {
			if err := writeValue(w, o.output, delta.Items[i], table{header: configItemRow(&delta.Items[i])}); err != nil {
				return err
			}
			printed++
		}
		after = max(after, delta.Head)
	}
	return nil
}

func configItemRow(item *medlarwheel.ConfigItem) []string {
	return []string{item.Key, strconv.FormatUint(uint64(item.Version), 10), string(item.Author)}
}

func writePublished(w io.Writer, o *operatorOptions, p medlaroperator.WriteResult) error {
	version := strconv.FormatUint(uint64(p.Version), 10)
	return writeValue(w, o.output, p, table{header: []string{"KEY", "VERSION"}, rows: [][]string{{p.Key, version}}})
}

// publishOptions returns the author and the expected version of a change. The author is required.
func (o *operatorOptions) publishOptions(expected uint64) (medlaroperator.WriteOptions, error) {
	if o.author == "" {
		return medlaroperator.WriteOptions{}, usageError{errors.New("--author is missing: the name of the operator is required")}
	}
	return medlaroperator.WriteOptions{Author: medlarwheel.Author(o.author), ExpectedVersion: medlarwheel.ConfigVersion(expected)}, nil
}

// readInput reads a file, or standard input if the name is -.
func readInput(name string, stdin io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(stdin)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError{err}
	}
	return data, nil
}

// exactArguments requires n arguments, and otherwise returns a usage error.
func exactArguments(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, arguments []string) error {
		if err := cobra.ExactArgs(n)(c, arguments); err != nil {
			return usageError{err}
		}
		return nil
	}
}
