package main

import (
	"os"
	"strings"
)

func readFile(p string) (string, error) {
	b, err := os.ReadFile(p)
	f := strings.Fields(string(b))
	if len(f) > 14 {
		return f[13] + " " + f[14], err
	}
	return "", err
}
