// Package logline parses the structured lines of bellgap's log and limits the rate at which lines are written.
package logline

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// maxLineBytes is the maximum length of a line that can be read.
const maxLineBytes = 1 << 20

// Line is a parsed line of the log.
type Line struct {
	// Head is the text before the message: severity, time, process ID and position in the source.
	Head    string
	Message string
	Fields  []Field
}

// Field is a key and its value, without the quotes around the value.
type Field struct {
	Key   string
	Value string
}

// Get returns the value of a key, or an empty string if the line does not have the key.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse parses a line. It returns false if the line has no quoted message.
func Parse(text string) (l Line, ok bool) {
	headEnd := strings.Index(text, `] "`)
	if headEnd < 0 {
		return l, false
	}
	l.Head = text[:headEnd+1]
	rest := text[headEnd+2:]
	if l.Message, rest, ok = cutQuoted(rest); !ok {
		return l, false
	}
	for rest = strings.TrimLeft(rest, " "); rest != ""; rest = strings.TrimLeft(rest, " ") {
		var f Field
		f.Key, rest, ok = strings.Cut(rest, "=")
		if !ok {
			return l, true
		}
		f.Value, rest = cutValue(rest)
		l.Fields = append(l.Fields, f)
	}
	return l, true
}

// cutValue splits rest after its first value, which is a quoted string, a list in brackets or a word.
func cutValue(rest string) (v, after string) {
	if text, tail, ok := cutQuoted(rest); ok {
		return text, tail
	}
	if strings.HasPrefix(rest, "[") {
		if end := strings.Index(rest, "]"); end >= 0 {
			return rest[:end+1], rest[end+1:]
		}
	}
	v, after, _ = strings.Cut(rest, " ")
	return v, after
}

// cutQuoted splits text after the quoted string at its start, and returns that string without quotes. It returns false if text
// does not start with a quoted string.
func cutQuoted(text string) (v, after string, ok bool) {
	prefix, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", text, false
	}
	v, err = strconv.Unquote(prefix)
	return v, text[len(prefix):], err == nil
}

// Find returns the lines in which the value of any key is equal to search, or is a list with an element that starts or ends with
// search. The lines are in the order of the log.
func Find(r io.Reader, search string) ([]Line, error) {
	var found []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), search) {
			continue
		}
		l, ok := Parse(scanner.Text())
		if !ok {
			continue
		}
		for _, f := range l.Fields {
			if f.Value == search || strings.Contains(f.Value, `"`+search) || strings.Contains(f.Value, search+`"`) {
				found = append(found, l)
				break
			}
		}
	}
	return found, scanner.Err()
}
