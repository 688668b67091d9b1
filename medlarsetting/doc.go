// Package medlarsetting reads the settings of an entry instance from flags and environment variables.
//
// A flag takes precedence over its environment variable, which takes precedence over the default. All invalid values are
// reported together, each with its flag or environment variable and the accepted values. Secrets are read from the
// environment only, so that they do not appear in a process list.
//
// # Usage
//
//	loader := medlarsetting.NewLoader()
//	loader.BindFlags(command.Flags())
//	settings, err := loader.Load(os.LookupEnv)
//
// The environment variable of a flag is MEDLARWHEEL_ and the flag's name in upper case with underscores, such as
// MEDLARWHEEL_DATA_CENTRE for --data-centre.
package medlarsetting
