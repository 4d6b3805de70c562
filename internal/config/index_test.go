package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
)

// Guards against indexed lookups that differ from scans, also after the document was
// edited, reordered or shortened in place.
func TestIndexedLookupsEqualScans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.IntRange(0, 20), 1, 12, rapid.ID[int]).Draw(t, "names")
		d := &Document{}
		for _, n := range names {
			name := fmt.Sprint(n)
			d.Inventory.Groups = append(d.Inventory.Groups, Group{Name: "g" + name, Servers: []Server{{Name: "a" + name}, {Name: "b" + name}}})
			d.Inventory.Customers = append(d.Inventory.Customers, Customer{Name: name})
			d.Rules.Limits = append(d.Rules.Limits, Limit{Customer: name, Rate: float64(n)})
			d.Rules.Routes = append(d.Rules.Routes, Route{Name: name})
		}
		d.Index = newIndex(d)
		order := rapid.Permutation(names).Draw(t, "order")
		switch rapid.IntRange(0, 2).Draw(t, "edit") {
		case 1:
			d.Rules.Limits = d.Rules.Limits[:len(names)/2]
			d.Inventory.Groups = d.Inventory.Groups[len(names)/2:]
			d.Inventory.Customers[0].Name = "renamed"
		case 2:
			for i, n := range order {
				name := fmt.Sprint(n)
				d.Rules.Limits[i] = Limit{Customer: name, Rate: float64(n)}
				d.Rules.Routes[i].Name, d.Inventory.Customers[i].Name = name, name
				d.Inventory.Groups[i] = Group{Name: "g" + name, Servers: []Server{{Name: "b" + name}, {Name: "a" + name}}}
			}
		}
		unindexed := *d
		unindexed.Index = nil
		for n := range 21 {
			name := fmt.Sprint(n)
			assertSameLookup(t, d.Group, unindexed.Group, "g"+name)
			assertSameLookup(t, d.Route, unindexed.Route, name)
			assertSameLookup(t, d.Customer, unindexed.Customer, name)
			assertSameLookup(t, d.Limit, unindexed.Limit, name)
			assertSameLookup(t, serverLookup(d), serverLookup(&unindexed), "a"+name)
			assertSameLookup(t, serverLookup(d), serverLookup(&unindexed), "b"+name)
		}
	})
}

func serverLookup(d *Document) func(string) ([2]string, bool) {
	return func(name string) ([2]string, bool) {
		s, g, ok := d.Server(name)
		return [2]string{s.Name, g.Name}, ok
	}
}

func assertSameLookup[T any](t *rapid.T, indexed, scanned func(string) (T, bool), name string) {
	got, found := indexed(name)
	want, exists := scanned(name)
	assert.Equal(t, found, exists, name)
	assert.DeepEqual(t, got, want)
}

// Guards against decoding without building an index. Other tests would pass, because
// lookups would only be slower.
func TestDecodedDocumentIsIndexed(t *testing.T) {
	doc, err := Load("../../examples/kandyan")
	assert.NilError(t, err)
	assert.Equal(t, len(doc.Index.Limits), len(doc.Rules.Limits))
	assert.Equal(t, len(doc.Index.Servers), 9)
}
