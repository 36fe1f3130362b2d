package invariant

import "fmt"

// Outcome is the result of a request, as the caller received it.
type Outcome struct {
	// Request is the ID of the request, by which back ends count its runs.
	Request string
	// Served is set if the caller received the complete response.
	Served bool
	// Answer is the response body, as far as it was received.
	Answer string
	// Ran is "no", "yes" or "unknown", as reported to the caller. It is empty if the connection broke before the response.
	Ran string
	// Model is the requested adapter version.
	Model string
}

// AtMostOnce returns an error if a request ran more than once. All outcomes must be of requests that may not be repeated.
func AtMostOnce(outcomes []Outcome, runs map[string]int) error {
	for _, o := range outcomes {
		if runs[o.Request] > 1 {
			return fmt.Errorf("invariant: request %s ran %d times", o.Request, runs[o.Request])
		}
	}
	return nil
}

// NotRunIsTrue returns an error if a request that was reported as not run did run, or if a served request did not run.
func NotRunIsTrue(outcomes []Outcome, runs map[string]int) error {
	for _, o := range outcomes {
		if o.Ran == "no" && runs[o.Request] > 0 {
			return fmt.Errorf("invariant: request %s was reported as not run but ran %d times", o.Request, runs[o.Request])
		}
		if o.Served && runs[o.Request] == 0 {
			return fmt.Errorf("invariant: request %s was served but never ran", o.Request)
		}
	}
	return nil
}

// CheckAnswers returns an error if a served request got an incomplete response or the response to another request.
// isComplete reports whether a response is complete and belongs to its request.
func CheckAnswers(outcomes []Outcome, isComplete func(o Outcome) bool) error {
	for _, o := range outcomes {
		if o.Served && !isComplete(o) {
			return fmt.Errorf("invariant: request %s for %s got the wrong response %q", o.Request, o.Model, o.Answer)
		}
	}
	return nil
}

// CheckUnloads returns an error if an engine has recorded a violation: the unload of an adapter in use.
func CheckUnloads(violations []string) error {
	if len(violations) > 0 {
		return fmt.Errorf("invariant: adapters unloaded while in use: %v", violations)
	}
	return nil
}
