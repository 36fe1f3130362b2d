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

// HeadFault is why a head is that of no answer.
type HeadFault string

const (
	// FaultStatus is a status that is none of a final answer. No request asks for another protocol.
	FaultStatus HeadFault = "status"
	// FaultField is a field whose name is no token. What the field says is not known: it may be the length of the answer or its coding.
	FaultField HeadFault = "field"
)

// InvalidHeadError is the error of an answer whose head no sound peer sends. Nothing in it is believed: the request may have run.
type InvalidHeadError struct {
	Fault HeadFault
	// Detail is the part of the head that is at fault.
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

// CheckHead returns an InvalidHeadError unless resp can be a final answer.
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

// isInterim reports whether a status is that of an interim answer, which the final one follows.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckFinalHead does the same as CheckHead for a head that may be that of an interim answer.
func CheckFinalHead(resp *http.Response) error {
	if isInterim(resp.StatusCode) {
		return nil
	}
	return CheckHead(resp)
}
