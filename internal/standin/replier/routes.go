package replier

import (
	"net/http"
	"sync"
)

// Routes are a stand-in's routes, built at its first request.
type Routes struct {
	once sync.Once
	mux  *http.ServeMux
}

// Serve answers a request; the first call has add enter the routes.
func (r *Routes) Serve(w http.ResponseWriter, request *http.Request, add func(mux *http.ServeMux)) {
	r.once.Do(func() {
		r.mux = http.NewServeMux()
		add(r.mux)
	})
	r.mux.ServeHTTP(w, request)
}
