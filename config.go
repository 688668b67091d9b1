package medlarwheel

// ConfigItem is a template or a client account in the configuration, with the version of its last change. Exactly one of
// Template and Account is set, or neither if the item was withdrawn.
type ConfigItem struct {
	// Key is "template/<name>" or "account/<id>".
	Key     string        `json:"key"`
	Version ConfigVersion `json:"version"`
	Author  Author        `json:"author"`
	// Withdrawn marks the tombstone of a removed item. It is kept so that an older version cannot restore the item.
	Withdrawn bool      `json:"withdrawn,omitempty"`
	Template  *Template `json:"template,omitempty"`
	Account   *Account  `json:"account,omitempty"`
}

// TemplateKey returns the configuration key of a template.
func TemplateKey(name TemplateName) string { return "template/" + string(name) }

// AccountKey returns the configuration key of a client account.
func AccountKey(id AccountID) string { return "account/" + string(id) }

// Check reports every fault of c.
func (c *ConfigItem) Check() Faults {
	var faults Faults
	switch {
	case c.Withdrawn:
	case c.Template != nil && c.Account == nil:
		faults = c.Template.Check()
		if c.Key != TemplateKey(c.Template.Name) {
			faults = faults.Add("key", c.Key, TemplateKey(c.Template.Name))
		}
	case c.Account != nil && c.Template == nil:
		faults = c.Account.Check()
		if c.Key != AccountKey(c.Account.ID) {
			faults = faults.Add("key", c.Key, AccountKey(c.Account.ID))
		}
	default:
		faults = faults.Add("template", "neither or both", "exactly one of template and account")
	}
	if c.Version == 0 {
		faults = faults.Add("version", 0, "1 or more")
	}
	return faults
}

// ConfigDelta lists the items changed after version After, up to and including version Head.
type ConfigDelta struct {
	After ConfigVersion `json:"after"`
	Head  ConfigVersion `json:"head"`
	Items []ConfigItem  `json:"items,omitempty"`
}

// Check reports every fault of d.
func (d *ConfigDelta) Check() Faults {
	var faults Faults
	if d.Head < d.After {
		faults = faults.Add("head", d.Head, "no lower than after")
	}
	for i := range d.Items {
		item := &d.Items[i]
		faults = append(faults, item.Check()...)
		if item.Version > d.Head {
			faults = faults.Add("items.version", item.Version, "no higher than head")
		}
	}
	return faults
}
