// Package medlarsetting reads the settings of an entry instance from flags and environment variables.
//
// A flag goes before its environment variable, which goes before the default. All bad values are reported at once, each
// with its name, its source and the accepted range. Secrets are read from the environment only, so that they do not show
// in a process list.
//
// # Usage
//
//	set := medlarsetting.NewLoader()
//	set.Bind(command.Flags())
//	settings, err := set.Load(os.LookupEnv)
//
// The environment variable of a flag is MEDLARWHEEL_ and the flag's name in capitals with underscores, such as
// MEDLARWHEEL_DATA_CENTRE for --data-centre.
package medlarsetting
