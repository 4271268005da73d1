// Package replier holds the HTTP helpers that the stand-ins share: JSON responses
// and routes that are registered on the first request.
//
// # Usage
//
//	replier.JSON(w, http.StatusOK, value)
package replier

import (
	"encoding/json"
	"net/http"
)

// JSON writes a response with the given status and value encoded as JSON.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
