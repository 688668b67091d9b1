package medlarwheel

// Account is a client account with its parameters for the templates that it uses.
type Account struct {
	ID AccountID `json:"id"`
	// Team is the team whose quota the account's tasks count against. Empty means the account itself.
	Team string `json:"team,omitempty"`
	// Quota limits the resources of all running tasks of the account. A zero component is unlimited.
	Quota Resources `json:"quota"`
	// Parameters overrides the defaults of templates. A template without an entry uses its defaults.
	Parameters map[TemplateName]Parameters `json:"parameters,omitempty"`
}

// DecodeAccount decodes a client account from JSON and reports its faults together.
func DecodeAccount(data []byte) (Account, error) { return Decode[Account](data) }

// Check reports every fault of a.
func (a *Account) Check() Faults {
	faults := CheckName("id", string(a.ID))
	if a.Team != "" {
		faults = append(faults, CheckName("team", a.Team)...)
	}
	faults = append(faults, a.Quota.CheckQuota("quota")...)
	for _, name := range sortedKeys(parametersByName(a.Parameters)) {
		path := "parameters." + name
		faults = append(faults, CheckName(path, name)...)
		faults = append(faults, a.Parameters[TemplateName(name)].Check(path)...)
	}
	return faults
}

// ParametersFor returns the account's parameters for the template, or the template's defaults.
func (a *Account) ParametersFor(t *Template) Parameters {
	if a != nil {
		if p, ok := a.Parameters[t.Name]; ok {
			return p
		}
	}
	return t.Defaults
}

func parametersByName(parameters map[TemplateName]Parameters) map[string]Parameters {
	byName := make(map[string]Parameters, len(parameters))
	for name, p := range parameters {
		byName[string(name)] = p
	}
	return byName
}
