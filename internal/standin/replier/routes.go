package replier

import (
	"net/http"
	"sync"
)

// Routes holds a stand-in's request multiplexer, which is built on the first request,
// so that the zero value of a stand-in can serve.
type Routes struct {
	once sync.Once
	mux  *http.ServeMux
}

// Serve dispatches a request to its handler. The first call builds the multiplexer
// and calls register to add the handlers.
func (r *Routes) Serve(w http.ResponseWriter, request *http.Request, register func(mux *http.ServeMux)) {
	r.once.Do(func() {
		r.mux = http.NewServeMux()
		register(r.mux)
	})
	r.mux.ServeHTTP(w, request)
}
