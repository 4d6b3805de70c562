package config

// Index finds the entries of a document by name. A statement looks a limit and a
// group up, and a scan of 2,000 limits costs more than the rest of a grant.
//
// It holds places in the document's lists. A lookup compares the name at the
// place and scans the list when it differs, so that a document that was edited
// after it was decoded gives right answers.
type Index struct {
	Groups, Routes, Customers, Limits map[string]int
	// Servers holds the places of the group and of the server in it.
	Servers map[string][2]int
}

// BuildIndex indexes a document that was not decoded from YAML.
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

// find returns the entry with the name. Places may be nil.
func find[T any](entries []T, places map[string]int, name string, nameOf func(*T) string) (T, bool) {
	if i, ok := places[name]; ok && i < len(entries) && nameOf(&entries[i]) == name {
		return entries[i], true
	}
	for i := range entries {
		if nameOf(&entries[i]) == name {
			return entries[i], true
		}
	}
	var none T
	return none, false
}
