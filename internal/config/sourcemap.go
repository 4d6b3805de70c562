package config

import (
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// sourceMap holds the file and line of every value by its path, and collects the
// problems that decoding and validation find.
type sourceMap struct {
	positions map[string]sourcePosition
	problems  Problems
}

type sourcePosition struct {
	file string
	line int
}

func newSourceMap() *sourceMap { return &sourceMap{positions: map[string]sourcePosition{}} }

// report adds a problem at the position of the value, or of the nearest parent with
// a position if the value was left out.
func (s *sourceMap) report(path, message, expected string) {
	position, ok := s.positions[path]
	for parent := path; !ok && parent != ""; {
		parent = parentPath(parent)
		position, ok = s.positions[parent]
	}
	s.problems = append(s.problems, Problem{File: position.file, Line: position.line, Path: path, Message: message, Expected: expected})
}

func parentPath(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end < 0 {
		return ""
	}
	return path[:end]
}

var syntaxLine = regexp.MustCompile(`line (\d+): `)

// decode checks a YAML file against the type of the target and decodes it if there
// are no problems. prefix is the path of the top-level value.
func (s *sourceMap) decode(file, prefix string, data []byte, target any) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		s.reportSyntax(file, err)
		return
	}
	if len(root.Content) == 0 {
		s.problems = append(s.problems, Problem{File: file, Line: 1, Message: "the file is empty", Expected: "a YAML mapping"})
		return
	}
	before := len(s.problems)
	s.checkNode(file, prefix, root.Content[0], reflect.TypeOf(target).Elem())
	if len(s.problems) > before {
		return
	}
	if err := root.Content[0].Decode(target); err != nil {
		s.reportSyntax(file, err)
	}
}

func (s *sourceMap) reportSyntax(file string, err error) {
	line := 1
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	if m := syntaxLine.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = strings.Replace(message, m[0], "", 1)
	}
	s.problems = append(s.problems, Problem{File: file, Line: line, Message: message, Expected: "valid YAML"})
}

var durationType = reflect.TypeFor[Duration]()

// checkNode checks that a YAML node matches the Go type that it will be decoded into,
// and records its position.
func (s *sourceMap) checkNode(file, path string, node *yaml.Node, t reflect.Type) {
	if _, ok := s.positions[path]; !ok {
		s.positions[path] = sourcePosition{file: file, line: node.Line}
	}
	if node.Kind == yaml.AliasNode {
		s.report(path, "aliases are not supported", "the value itself")
		return
	}
	switch {
	case t == durationType:
		s.checkDuration(path, node)
	case t.Kind() == reflect.Struct:
		s.checkMapping(file, path, node, t)
	case t.Kind() == reflect.Slice:
		s.checkSequence(file, path, node, t)
	default:
		s.checkScalar(path, node, t)
	}
}

func (s *sourceMap) checkMapping(file, path string, node *yaml.Node, t reflect.Type) {
	if node.Kind != yaml.MappingNode {
		s.report(path, "wrong type", "a mapping with "+strings.Join(fieldNames(t), ", "))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		child := joinPath(path, key.Value)
		s.positions[child] = sourcePosition{file: file, line: key.Line}
		field, ok := fieldByName(t, key.Value)
		if !ok {
			s.report(child, "unknown field", "one of "+strings.Join(fieldNames(t), ", "))
			continue
		}
		if seen[key.Value] {
			s.report(child, "field given twice", "each field at most once")
			continue
		}
		seen[key.Value] = true
		s.checkNode(file, child, value, field.Type)
	}
}

func (s *sourceMap) checkSequence(file, path string, node *yaml.Node, t reflect.Type) {
	if node.Kind != yaml.SequenceNode {
		s.report(path, "wrong type", "a list")
		return
	}
	for i, item := range node.Content {
		s.checkNode(file, fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
	}
}

func (s *sourceMap) checkDuration(path string, node *yaml.Node) {
	if node.Kind != yaml.ScalarNode {
		s.report(path, "wrong type", "a duration such as 250ms or 5s")
		return
	}
	d, err := time.ParseDuration(node.Value)
	if err != nil {
		s.report(path, fmt.Sprintf("%q is not a duration", node.Value), "a number with a unit, such as 250ms or 5s")
		return
	}
	if d < 0 {
		s.report(path, "negative duration", "0s or more")
	}
}

func (s *sourceMap) checkScalar(path string, node *yaml.Node, t reflect.Type) {
	expected := scalarName(t.Kind())
	if node.Kind != yaml.ScalarNode {
		s.report(path, "wrong type", expected)
		return
	}
	ok := true
	switch t.Kind() {
	case reflect.Int:
		_, err := strconv.Atoi(node.Value)
		ok = err == nil
	case reflect.Float64:
		_, err := strconv.ParseFloat(node.Value, 64)
		ok = err == nil
	case reflect.Bool:
		ok = node.Tag == "!!bool"
	}
	if !ok {
		s.report(path, fmt.Sprintf("%q has the wrong type", node.Value), expected)
	}
}

func scalarName(k reflect.Kind) string {
	switch k {
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a string"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); fieldName(f) == name && name != "-" {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if name := fieldName(t.Field(i)); name != "-" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// UnmarshalYAML implements yaml.Unmarshaler with time.ParseDuration.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	v, err := time.ParseDuration(node.Value)
	*d = Duration(v)
	return err
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return d.Std().String(), nil }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return d.Std().String() }
