// Package jsonlist decodes lists whose elements were written by other programs. An element that is malformed or nested too deeply does not
// make the others unreadable.
package jsonlist

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"
)

// MaxNesting is the maximum depth of an element that is passed on undecoded. The decoder of the standard library rejects a whole text for one
// value that is nested more than 10,000 levels deep, and what is passed on is nested in other messages.
const MaxNesting = 1000

// Decode decodes text, a JSON object, into rest, except for its member list, whose elements it returns undecoded. The elements may be
// invalid JSON as long as their brackets and quotes are balanced. A missing list has no elements.
func Decode(text []byte, list string, rest any) ([]json.RawMessage, error) {
	if depth, isBalanced := nesting(text); !isBalanced || depth == 0 {
		return nil, eris.New("jsonlist: text is incomplete or no object")
	}
	parsed := gjson.ParseBytes(text)
	if !parsed.IsObject() {
		return nil, eris.New("jsonlist: text is no object")
	}
	var elements []json.RawMessage
	others := bytes.NewBufferString("{")
	parsed.ForEach(func(key, value gjson.Result) bool {
		if key.String() == list {
			elements = elementsOf(value)
			return true
		}
		if others.Len() > 1 {
			_ = others.WriteByte(',')
		}
		_, _ = others.WriteString(key.Raw + ":" + value.Raw)
		return true
	})
	_ = others.WriteByte('}')
	return elements, eris.Wrap(json.Unmarshal(others.Bytes(), rest), "jsonlist: decode object")
}

// elementsOf returns the elements of a list, none for any other value.
func elementsOf(list gjson.Result) []json.RawMessage {
	if !list.IsArray() {
		return nil
	}
	var elements []json.RawMessage
	list.ForEach(func(_, value gjson.Result) bool {
		elements = append(elements, json.RawMessage(value.Raw))
		return true
	})
	return elements
}

// IsTooDeep reports whether a JSON value is nested more than MaxNesting levels deep.
func IsTooDeep(value []byte) bool {
	depth, _ := nesting(value)
	return depth > MaxNesting
}

// nesting returns the greatest depth of brackets in text, and whether all brackets and quotes are closed.
func nesting(text []byte) (depth int, isBalanced bool) {
	open := 0
	isText, isEscaped := false, false
	for _, b := range text {
		switch {
		case isEscaped:
			isEscaped = false
		case isText:
			isEscaped, isText = b == '\\', b != '"'
		case b == '"':
			isText = true
		case b == '{' || b == '[':
			open++
			depth = max(depth, open)
		case b == '}' || b == ']':
			if open--; open < 0 {
				return depth, false
			}
		}
	}
	return depth, open == 0 && !isText
}
