package config

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Names of the two files in a configuration directory.
const (
	InventoryFile = "inventory.yaml"
	RulesFile     = "rules.yaml"
)

// Load reads and validates inventory.yaml and rules.yaml in a directory. If their
// content is invalid, the error is of type Problems.
func Load(dir string) (*Document, error) {
	inventory, err := os.ReadFile(filepath.Join(dir, InventoryFile))
	if err != nil {
		return nil, errors.Wrap(err, "read inventory")
	}
	rules, err := os.ReadFile(filepath.Join(dir, RulesFile))
	if err != nil {
		return nil, errors.Wrap(err, "read rules")
	}
	doc := &Document{}
	src := newSourceMap()
	src.decode(InventoryFile, "inventory", inventory, &doc.Inventory)
	src.decode(RulesFile, "rules", rules, &doc.Rules)
	return validateAndIndex(doc, src)
}

// Decode decodes and validates a published document, which holds the inventory and
// the rules. If the content is invalid, the error is of type Problems.
func Decode(data []byte) (*Document, error) {
	doc := &Document{}
	src := newSourceMap()
	src.decode("document", "", data, doc)
	return validateAndIndex(doc, src)
}

// validateAndIndex applies defaults, validates the document and builds its index.
func validateAndIndex(doc *Document, src *sourceMap) (*Document, error) {
	if len(src.problems) > 0 {
		return nil, src.problems.sorted()
	}
	applyDefaults(doc)
	validate(doc, src)
	if len(src.problems) > 0 {
		return nil, src.problems.sorted()
	}
	doc.Index = newIndex(doc)
	return doc, nil
}

// Encode encodes the document as YAML for Decode.
func Encode(doc *Document) ([]byte, error) {
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	if err := enc.Encode(doc); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return buf.Bytes(), errors.Wrap(enc.Close(), "encode configuration")
}

// DecodeStrict decodes a YAML file that is not part of the configuration, such as a
// host's settings. As in the configuration, unknown and duplicate fields and values
// of the wrong type are returned as Problems.
func DecodeStrict(file string, data []byte, target any) error {
	src := newSourceMap()
	src.decode(file, "", data, target)
	if len(src.problems) > 0 {
		return src.problems.sorted()
	}
	return nil
}

func applyDefaults(doc *Document) {
	for i := range doc.Inventory.Groups {
		if doc.Inventory.Groups[i].Durability == "" {
			doc.Inventory.Groups[i].Durability = DurabilityReplicated
		}
	}
	for i := range doc.Rules.Routes {
		if doc.Rules.Routes[i].Deadline == 0 {
			doc.Rules.Routes[i].Deadline = DefaultDeadline
		}
	}
	if doc.Rules.KeyGrace == 0 {
		doc.Rules.KeyGrace = DefaultKeyGrace
	}
}
