package config

import (
	"bytes"
	"encoding/hex"
	"slices"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// AddKey returns the inventory file with the key verifier added to the customer.
// It preserves comments and the order of entries. It fails if the customer does not
// exist or already has a key with the id.
func AddKey(inventory []byte, customer string, key KeyRef) ([]byte, error) {
	return editYAML(inventory, func(root *yaml.Node) error {
		c, err := findNamed(root, "customers", customer)
		if err != nil {
			return err
		}
		keys := mappingValue(c, "keys")
		if keys == nil {
			keys = &yaml.Node{Kind: yaml.SequenceNode}
			c.Content = append(c.Content, stringNode("keys"), keys)
		}
		for _, k := range keys.Content {
			if id := mappingValue(k, "id"); id != nil && id.Value == key.ID {
				return errors.Errorf("customer %q already has a key %q", customer, key.ID)
			}
		}
		keys.Content = append(keys.Content, &yaml.Node{Kind: yaml.MappingNode, Style: yaml.FlowStyle, Content: []*yaml.Node{
			stringNode("id"), stringNode(key.ID),
			stringNode("caller"), stringNode(key.Caller),
			stringNode("sha256"), stringNode(key.SHA256),
		}})
		return nil
	})
}

// WithdrawKey returns the inventory file with the key marked as withdrawn. It fails
// if the customer or the key does not exist.
func WithdrawKey(inventory []byte, customer, id string) ([]byte, error) {
	return editYAML(inventory, func(root *yaml.Node) error {
		c, err := findNamed(root, "customers", customer)
		if err != nil {
			return err
		}
		keys := mappingValue(c, "keys")
		if keys == nil {
			return errors.Errorf("customer %q has no keys", customer)
		}
		for _, k := range keys.Content {
			if v := mappingValue(k, "id"); v != nil && v.Value == id {
				setMappingValue(k, "withdrawn", &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!bool", Value: "true"})
				return nil
			}
		}
		return errors.Errorf("customer %q has no key %q", customer, id)
	})
}

// SetZoneOut returns the rules file with the availability zone taken out of service,
// or returned to service if out is false. It fails if the zone is already in the
// requested state.
func SetZoneOut(rules []byte, zone string, out bool) ([]byte, error) {
	return editYAML(rules, func(root *yaml.Node) error {
		list := mappingValue(root, "zones_out")
		if list == nil {
			list = &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
			setMappingValue(root, "zones_out", list)
		}
		index := slices.IndexFunc(list.Content, func(n *yaml.Node) bool { return n.Value == zone })
		switch {
		case out && index < 0:
			list.Content = append(list.Content, stringNode(zone))
		case !out && index >= 0:
			list.Content = slices.Delete(list.Content, index, index+1)
		case out:
			return errors.Errorf("availability zone %q is already out", zone)
		default:
			return errors.Errorf("availability zone %q is not out", zone)
		}
		return nil
	})
}

// editYAML parses a YAML file, applies the edit to its top-level mapping and encodes
// it again.
func editYAML(data []byte, edit func(root *yaml.Node) error) ([]byte, error) {
	const indentSpaces = 2
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return nil, errors.Wrap(err, "parse YAML")
	}
	if len(doc.Content) != 1 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, errors.New("the file is not a YAML mapping")
	}
	if err := edit(doc.Content[0]); err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(indentSpaces)
	if err := enc.Encode(&doc); err != nil {
		return nil, errors.Wrap(err, "encode YAML")
	}
	return buf.Bytes(), errors.Wrap(enc.Close(), "encode YAML")
}

// findNamed returns the entry with the name in a list of the top-level mapping.
func findNamed(root *yaml.Node, list, name string) (*yaml.Node, error) {
	if seq := mappingValue(root, list); seq != nil {
		for _, item := range seq.Content {
			if v := mappingValue(item, "name"); v != nil && v.Value == name {
				return item, nil
			}
		}
	}
	return nil, errors.Errorf("no entry named %q under %s", name, list)
}

// mappingValue returns the value of a key in a mapping, or nil.
func mappingValue(node *yaml.Node, key string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}

// setMappingValue replaces the value of a key in a mapping, or adds the key.
func setMappingValue(node *yaml.Node, key string, value *yaml.Node) {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			node.Content[i+1] = value
			return
		}
	}
	node.Content = append(node.Content, stringNode(key), value)
}

func stringNode(value string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: value}
}

// EncodeDigest encodes the SHA-256 digest of a key secret for KeyRef.SHA256.
func EncodeDigest(sum [digestBytes]byte) string { return hex.EncodeToString(sum[:]) }
