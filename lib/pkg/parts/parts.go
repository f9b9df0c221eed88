// Package parts takes the JSON of a list apart without decoding its parts, so that one part that can't be decoded does not affect the others.
// Package json refuses a text as a whole where a part of it is nested more than 10,000 deep.
package parts

import (
	"bytes"
	"encoding/json"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// KindSyntax means that a text is not an array, or not an object, that can be taken apart.
const KindSyntax Kind = "syntax"

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Elements returns the elements of a JSON array. They may be invalid JSON. A missing array, which is empty, and null have none.
func Elements(array []byte) ([]json.RawMessage, error) {
	if text := trim(array); len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	var out []json.RawMessage
	err := split(array, '[', ']', func(part []byte) error {
		out = append(out, part)
		return nil
	})
	return out, err
}

// Members returns the members of a JSON object by their names. The values may be invalid JSON.
func Members(object []byte) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	err := split(object, '{', '}', func(part []byte) error {
		end := stringEnd(part)
		var name string
		if end == 0 || json.Unmarshal(part[:end], &name) != nil {
			return fault.New("split", KindSyntax, "a member without a name")
		}
		value, found := bytes.CutPrefix(trim(part[end:]), []byte{':'})
		if !found {
			return fault.New("split", KindSyntax, "a member without a value")
		}
		out[name] = trim(value)
		return nil
	})
	return out, err
}

func trim(text []byte) []byte { return bytes.Trim(text, " \t\r\n") }

// split calls add with each part between the brackets and commas of the outermost level of a text.
func split(text []byte, first, last byte, add func(part []byte) error) error {
	text = trim(text)
	if len(text) < 2 || text[0] != first || text[len(text)-1] != last {
		return fault.New("split", KindSyntax, "no array or object, or one without an end")
	}
	inner := trim(text[1 : len(text)-1])
	if len(inner) == 0 {
		return nil
	}
	for {
		end, err := partEnd(inner)
		if err != nil {
			return err
		}
		if err := add(trim(inner[:end])); err != nil {
			return err
		}
		if end == len(inner) {
			return nil
		}
		inner = inner[end+1:]
	}
}

// partEnd returns the position of the first comma that is in no string, array or object, or the length of the text.
func partEnd(text []byte) (int, error) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			n := stringEnd(text[i:])
			if n == 0 {
				return 0, fault.New("split", KindSyntax, "a string without an end")
			}
			i += n - 1
		case '[', '{':
			depth++
		case ']', '}':
			depth--
			if depth < 0 {
				return 0, fault.New("split", KindSyntax, "an end without a beginning")
			}
		case ',':
			if depth == 0 {
				return i, nil
			}
		}
	}
	if depth > 0 {
		return 0, fault.New("split", KindSyntax, "an array or object without an end")
	}
	return len(text), nil
}

// stringEnd returns the length of the string with which a text begins, its quotes included, or 0 if there is none or it has no end.
func stringEnd(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return 0
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}
