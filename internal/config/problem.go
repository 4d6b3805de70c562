package config

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in a configuration file or a settings file.
type Problem struct {
	File    string
	Line    int
	Path    string
	Message string
	// Expected describes a valid value.
	Expected string
}

// String formats the problem like a compiler message.
func (p Problem) String() string {
	s := fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	if p.Path != "" {
		s = fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Message)
	}
	if p.Expected != "" {
		s += "; expected " + p.Expected
	}
	return s
}

// Problems holds all faults found in a configuration. It implements error.
type Problems []Problem

// Error implements error with one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sorted() Problems {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].File != p[j].File {
			return p[i].File < p[j].File
		}
		return p[i].Line < p[j].Line
	})
	return p
}
