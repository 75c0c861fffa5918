package httputil

import "net/http"

// IsFinalStatus reports whether a status is that of a final response. net/http accepts any three digits: a status below
// 100 makes http.ResponseWriter panic, and one above 599 has no meaning. The statuses from 100 to 199 come before the
// final response, except for 101, after which the connection no longer carries HTTP.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status < 600
}

// IsInterimStatus reports whether a response with the status precedes the final one.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
