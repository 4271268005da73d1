// Package replier writes the stand-ins' answers.
//
// # Usage
//
//	replier.JSON(w, http.StatusOK, value)
package replier

import (
	"encoding/json"
	"net/http"
)

// JSON answers with a status and a value.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
