package invariant

import "fmt"

// Outcome is the result of a request, as the caller received it.
type Outcome struct {
	// RequestID is the ID of the request, by which back ends count its runs.
	RequestID string
	// Served is set if the caller received the complete response.
	Served bool
	// Response is the response body, as far as it was received.
	Response string
	// Ran is "no", "yes" or "unknown", as reported to the caller. It is empty if the connection broke before the response.
	Ran string
	// Model is the requested adapter version.
	Model string
}

// CheckAtMostOnce returns an error if a request ran more than once. All outcomes must be of requests that must not be retried.
func CheckAtMostOnce(outcomes []Outcome, runs map[string]int) error {
	for _, o := range outcomes {
		if runs[o.RequestID] > 1 {
			return fmt.Errorf("invariant: request %s ran %d times", o.RequestID, runs[o.RequestID])
		}
	}
	return nil
}

// CheckNotRunReports returns an error if a request that was reported as not run did run, or if a served request did not run.
func CheckNotRunReports(outcomes []Outcome, runs map[string]int) error {
	for _, o := range outcomes {
		if o.Ran == "no" && runs[o.RequestID] > 0 {
			return fmt.Errorf("invariant: request %s was reported as not run but ran %d times", o.RequestID, runs[o.RequestID])
		}
		if o.Served && runs[o.RequestID] == 0 {
			return fmt.Errorf("invariant: request %s was served but never ran", o.RequestID)
		}
	}
	return nil
}

// CheckAnswers returns an error if a served request got an incomplete response or the response to another request.
// isComplete reports whether a response is complete and belongs to its request.
func CheckAnswers(outcomes []Outcome, isComplete func(o Outcome) bool) error {
	for _, o := range outcomes {
		if o.Served && !isComplete(o) {
			return fmt.Errorf("invariant: request %s for %s got the wrong response %q", o.RequestID, o.Model, o.Response)
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
