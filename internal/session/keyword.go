package session

import "strings"

// command classifies a statement by how the proxy handles it. Statements are
// classified by exact keyword match; all others are commandOther.
type command uint8

const (
	commandOther command = iota
	commandBegin
	commandBeginReadOnly
	commandSetToken
	commandDeallocate
	commandDiscardAll
	commandUnsupported   // needs session state that a proxied connection does not keep
	commandSessionObject // creates a temporary object or a cursor
	commandReadWrite     // changes the read-only mode of a transaction or session
)

// maxWords is the largest number of words that classify examines. The longest
// recognised statement has ten words.
const maxWords = 12

// tokenSetting is the name of the causality token in SET, in startup parameters
// and in ParameterStatus.
const tokenSetting = "cranberryhinge.token"

// firstWords returns up to maxWords leading words of a statement in lower case.
// White space, commas and equals signs separate words; an equals sign is a word
// itself. Trailing semicolons are removed.
func firstWords(text string) []string {
	text = strings.TrimRight(strings.TrimSpace(text), "; \t\r\n")
	var out []string
	for len(out) < maxWords && text != "" {
		text = strings.TrimLeft(text, ", \t\r\n")
		if text == "" {
			break
		}
		if text[0] == '=' {
			out, text = append(out, "="), text[1:]
			continue
		}
		end := strings.IndexAny(text, "=, \t\r\n")
		if end < 0 {
			end = len(text)
		}
		out, text = append(out, asciiLower(text[:end])), text[end:]
	}
	return out
}

// classify recognises the statements that the proxy answers itself, refuses, or
// takes into account in routing.
func classify(text string) command {
	w := firstWords(text)
	if len(w) == 0 {
		return commandOther
	}
	switch w[0] {
	case "begin", "start":
		return classifyBegin(w)
	case "set":
		return classifySet(w)
	case "deallocate":
		return commandDeallocate
	case "discard":
		if len(w) == 2 && w[1] == "all" {
			return commandDiscardAll
		}
		return commandOther
	case "listen", "prepare", "execute", "load":
		return commandUnsupported
	case "declare":
		return commandSessionObject
	case "create":
		if w = w[1:]; hasPrefix(w, "local") || hasPrefix(w, "global") {
			w = w[1:]
		}
		if hasPrefix(w, "temp") || hasPrefix(w, "temporary") {
			return commandSessionObject
		}
		return commandOther
	default:
		return commandOther
	}
}

// classifyBegin recognises BEGIN [WORK|TRANSACTION] and START TRANSACTION
// followed by transaction modes.
func classifyBegin(w []string) command {
	modes := w[1:]
	switch {
	case w[0] == "start" && (len(modes) == 0 || modes[0] != "transaction"):
		return commandOther
	case len(modes) > 0 && (modes[0] == "transaction" || modes[0] == "work"):
		modes = modes[1:]
	}
	result := commandBegin
	for len(modes) > 0 {
		switch {
		case hasPrefix(modes, "read", "only"):
			result, modes = commandBeginReadOnly, modes[2:]
		case hasPrefix(modes, "read", "write"):
			return commandReadWrite
		case hasPrefix(modes, "isolation", "level", "serializable"):
			modes = modes[3:]
		case hasPrefix(modes, "isolation", "level", "repeatable", "read"),
			hasPrefix(modes, "isolation", "level", "read", "committed"),
			hasPrefix(modes, "isolation", "level", "read", "uncommitted"):
			modes = modes[4:]
		case hasPrefix(modes, "deferrable"):
			modes = modes[1:]
		case hasPrefix(modes, "not", "deferrable"):
			modes = modes[2:]
		default:
			return commandOther
		}
	}
	return result
}

func classifySet(w []string) command {
	if len(w) >= 3 && w[1] == tokenSetting {
		return commandSetToken
	}
	for i, word := range w[1:] {
		if strings.HasSuffix(word, "transaction_read_only") || hasPrefix(w[1+i:], "read", "write") {
			return commandReadWrite
		}
	}
	return commandOther
}

func hasPrefix(w []string, prefix ...string) bool {
	if len(w) < len(prefix) {
		return false
	}
	for i, p := range prefix {
		if w[i] != p {
			return false
		}
	}
	return true
}

// setTokenValue returns the value of SET cranberryhinge.token = '...'.
func setTokenValue(text string) (string, bool) {
	text = strings.TrimRight(strings.TrimSpace(text), "; \t\r\n")
	_, rest, ok := strings.Cut(asciiLower(text), tokenSetting)
	if !ok {
		return "", false
	}
	rest = strings.TrimSpace(text[len(text)-len(rest):])
	switch {
	case strings.HasPrefix(rest, "="):
		rest = rest[1:]
	case len(rest) > 3 && strings.EqualFold(rest[:2], "to"):
		rest = rest[2:]
	default:
		return "", false
	}
	rest = strings.TrimSpace(rest)
	if len(rest) < 2 || rest[0] != '\'' || rest[len(rest)-1] != '\'' {
		return "", false
	}
	return rest[1 : len(rest)-1], true
}

// asciiLower converts only ASCII letters to lower case. The length does not change,
// so that offsets in the result are valid in the argument.
func asciiLower(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}
