package httpx

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// maxStatus is the highest status of an answer in RFC 9110, section 15.
const maxStatus = 599

// HeadFault tells what is wrong with the head of an answer.
type HeadFault string

const (
	// FaultStatus is a status outside of 200 to 599. That includes 101 (Switching Protocols), which no request asks for.
	FaultStatus HeadFault = "status"
	// FaultField is a field whose name is not a token, for example because it holds a blank. The field may be meant as the length of the answer, or as
	// its coding.
	FaultField HeadFault = "field"
)

// InvalidHeadError is the error of an answer with an invalid head. Nothing in such a head counts, so the request may have run.
type InvalidHeadError struct {
	Fault HeadFault
	// Detail is the status or the name of the field.
	Detail string
}

// Error implements error.
func (e *InvalidHeadError) Error() string {
	return fmt.Sprintf("httpx: head of an answer is invalid: %s %s", e.Fault, e.Detail)
}

// IsInvalidHead reports whether err wraps an InvalidHeadError.
func IsInvalidHead(err error) bool {
	var invalid *InvalidHeadError
	return errors.As(err, &invalid)
}

// CheckHead returns an InvalidHeadError if the head of a final answer is invalid.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return &InvalidHeadError{FaultStatus, fmt.Sprintf("%03d", resp.StatusCode)}
	}
	for name := range resp.Header {
		if !isToken(name) {
			return &InvalidHeadError{FaultField, strconv.Quote(name)}
		}
	}
	return nil
}

// tokenSymbols are the characters of a token that are neither letters nor digits, as in RFC 9110, section 5.6.2.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// isToken reports whether a name is a token, as the names of fields are.
func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		isAlphanumeric := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		return !isAlphanumeric && !strings.ContainsRune(tokenSymbols, r)
	})
}

// IsInterim reports whether a status is that of an interim answer, which the final one follows.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
