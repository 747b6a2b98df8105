package caller

import (
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// maxOnce is the longest idempotency key, in bytes.
const maxOnce = 255

// invoke serves the routes to plain services.
func (h *Handler) invoke(w http.ResponseWriter, r *http.Request) {
	v, err := h.admitService(r)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("X-Request-Id", v.ID)
	a, err := h.dispatcher.Invoke(r.Context(), v)
	if err != nil {
		refuse(w, err)
		return
	}
	if a.GetType() != "" {
		w.Header().Set("Content-Type", a.GetType())
	}
	w.WriteHeader(int(a.GetStatus()))
	_, _ = w.Write(a.GetBody())
}

func (h *Handler) admitService(r *http.Request) (*dispatcher.Service, error) {
	view := h.member.View()
	route, err := h.match(view, r)
	if err != nil {
		return nil, err
	}
	var key *wire.Key
	if !route.GetOpen() {
		if key, err = h.authenticate(r, view); err != nil {
			return nil, err
		}
		if !slices.Contains(route.GetWorkspaces(), key.GetWorkspace()) {
			return nil, refuser.New(refuser.NotFound, "no such route for this key")
		}
	}
	deadline, err := h.deadline(r)
	if err != nil {
		return nil, err
	}
	once := r.Header.Get("Idempotency-Key")
	if len(once) > maxOnce {
		return nil, refuser.New(refuser.Invalid, "Idempotency-Key is longer than 255 bytes")
	}
	body, err := read(r)
	if err != nil {
		return nil, err
	}
	return &dispatcher.Service{
		ID:       newID(),
		Key:      key,
		Route:    route,
		Path:     r.URL.EscapedPath(),
		Query:    r.URL.RawQuery,
		Type:     r.Header.Get("Content-Type"),
		Once:     once,
		Body:     body,
		Config:   view.Version(),
		Deadline: deadline,
	}, nil
}

// match returns the route of a request.
func (h *Handler) match(view *configurer.View, r *http.Request) (*wire.Route, error) {
	var m mux.RouteMatch
	if !h.table(view).Match(r, &m) || m.Route == nil {
		return nil, refuser.New(refuser.NotFound, "no such path")
	}
	return view.Route(m.Route.GetName()), nil
}

// table returns the routes of a view, built once for each version.
func (h *Handler) table(view *configurer.View) *mux.Router {
	if t := h.routes.Load(); t != nil && t.version == view.Version() {
		return t.router
	}
	t := &routes{version: view.Version(), router: mux.NewRouter()}
	for _, r := range view.Routes() {
		t.router.Path(r.GetPath()).Methods(r.GetMethod()).Name(r.GetName()).HandlerFunc(http.NotFound)
	}
	h.routes.Store(t)
	return t.router
}
