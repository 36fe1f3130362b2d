// Package logline reads the structured lines of bellgap's log.
package logline

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// maxLine bounds a line that is read.
const maxLine = 1 << 20

// Line is one line of the log.
type Line struct {
	// Head is what stands before the message: severity, time, place.
	Head    string
	Message string
	Fields  []Field
}

// Field is one value of a line, with its quotes taken off.
type Field struct {
	Key   string
	Value string
}

// Get returns the value of a key, empty if there is none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse reads a line; ok is false for one that has no quoted message.
func Parse(text string) (l Line, ok bool) {
	at := strings.Index(text, `] "`)
	if at < 0 {
		return l, false
	}
	l.Head = text[:at+1]
	rest := text[at+2:]
	if l.Message, rest, ok = quoted(rest); !ok {
		return l, false
	}
	for rest = strings.TrimLeft(rest, " "); rest != ""; rest = strings.TrimLeft(rest, " ") {
		var f Field
		f.Key, rest, ok = strings.Cut(rest, "=")
		if !ok {
			return l, true
		}
		f.Value, rest = value(rest)
		l.Fields = append(l.Fields, f)
	}
	return l, true
}

// value takes the first value off rest: a quoted text, a list in brackets or a word.
func value(rest string) (v, after string) {
	if text, tail, ok := quoted(rest); ok {
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

func quoted(text string) (v, after string, ok bool) {
	prefix, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", text, false
	}
	v, err = strconv.Unquote(prefix)
	return v, text[len(prefix):], err == nil
}

// Find returns the lines that name a value under any key, in the order of the log.
func Find(r io.Reader, wanted string) ([]Line, error) {
	var found []Line
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), wanted) {
			continue
		}
		l, ok := Parse(lines.Text())
		if !ok {
			continue
		}
		for _, f := range l.Fields {
			if f.Value == wanted || strings.Contains(f.Value, `"`+wanted) || strings.Contains(f.Value, wanted+`"`) {
				found = append(found, l)
				break
			}
		}
	}
	return found, lines.Err()
}
