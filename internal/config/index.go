package config

// Index maps the names of a document's entries to their positions in its lists. It
// exists because each statement looks up a limit and a group, and a scan of 2,000
// limits costs more than the rest of a rate grant.
//
// A lookup compares the name at the indexed position and scans the list if it
// differs. Lookups are therefore also correct in a document that was edited after
// the index was built.
type Index struct {
	Groups, Routes, Customers, Limits map[string]int
	// Servers holds the position of the group, and of the server within the group.
	Servers map[string][2]int
}

// BuildIndex sets the index of a document that was not decoded from YAML.
func (d *Document) BuildIndex() { d.Index = newIndex(d) }

func newIndex(d *Document) *Index {
	x := &Index{
		Groups: make(map[string]int, len(d.Inventory.Groups)), Routes: make(map[string]int, len(d.Rules.Routes)),
		Customers: make(map[string]int, len(d.Inventory.Customers)), Limits: make(map[string]int, len(d.Rules.Limits)),
		Servers: map[string][2]int{},
	}
	for i, g := range d.Inventory.Groups {
		x.Groups[g.Name] = i
		for j, s := range g.Servers {
			x.Servers[s.Name] = [2]int{i, j}
		}
	}
	for i, r := range d.Rules.Routes {
		x.Routes[r.Name] = i
	}
	for i, c := range d.Inventory.Customers {
		x.Customers[c.Name] = i
	}
	for i, l := range d.Rules.Limits {
		x.Limits[l.Customer] = i
	}
	return x
}

// findByName returns the entry with the name. It scans the entries if positions is
// nil or outdated.
func findByName[T any](entries []T, positions map[string]int, name string, nameOf func(*T) string) (T, bool) {
	if i, ok := positions[name]; ok && i < len(entries) && nameOf(&entries[i]) == name {
		return entries[i], true
	}
	for i := range entries {
		if nameOf(&entries[i]) == name {
			return entries[i], true
		}
	}
	var zero T
	return zero, false
}
