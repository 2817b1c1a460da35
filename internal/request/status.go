package request

import "net/http"

// StatusOf returns the HTTP status of an outcome.
func StatusOf(o Outcome) int {
	switch o.Outcome {
	case Done:
		return http.StatusOK
	case Unknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
