package pairing

import "bytes"

const (
	// protocolPrefix begins each status line, versionSize is the size in bytes of the version after it.
	protocolPrefix = "HTTP/"
	versionSize    = len("1.1")
	statusSize     = len("200")
)

// statusLineAt returns the offset of the first status line in head at or after from, also in the middle of a line, and its status code as
// text. The offset is -1 if there is none.
func statusLineAt(head []byte, from int) (offset int, status string) {
	for from < len(head) {
		found := bytes.Index(head[from:], []byte(protocolPrefix))
		if found < 0 {
			break
		}
		offset := from + found
		if status := statusAfter(head[offset+len(protocolPrefix):]); status != "" {
			return offset, status
		}
		from = offset + len(protocolPrefix)
	}
	return -1, ""
}

// statusAfter returns the status code in a status line whose rest from the version on is line, empty if it is none.
func statusAfter(line []byte) string {
	if len(line) < versionSize || !isDigit(line[0]) || line[1] != '.' || !isDigit(line[2]) {
		return ""
	}
	code := bytes.TrimLeft(line[versionSize:], " ")
	if len(code) == len(line)-versionSize || len(code) < statusSize {
		return ""
	}
	for _, b := range code[:statusSize] {
		if !isDigit(b) {
			return ""
		}
	}
	if len(code) > statusSize && !bytes.ContainsRune([]byte(" \r\n"), rune(code[statusSize])) {
		return ""
	}
	return string(code[:statusSize])
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
