package sillstandin

import (
	"net/http"

	"github.com/gorilla/mux"
)

// Router routes the calls to a stand-in.
type Router struct {
	panel  *Panel
	router *mux.Router
}

// NewRouter returns a router that serves POST /standin/faults of the panel.
func NewRouter(p *Panel) *Router {
	r := &Router{panel: p, router: mux.NewRouter()}
	r.HandleControl(http.MethodPost, "/standin/faults", p.ServeFaults)
	return r
}

// Handle routes a call of an area, to which the faults of the area apply.
func (r *Router) Handle(area, method, path string, h http.HandlerFunc) {
	r.router.HandleFunc(path, r.panel.Wrap(area, h)).Methods(method)
}

// HandleControl routes a call that controls the stand-in, to which no faults apply.
func (r *Router) HandleControl(method, path string, h http.HandlerFunc) {
	r.router.HandleFunc(path, h).Methods(method)
}

// ServeHTTP answers one call.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.router.ServeHTTP(w, req)
}
