package caller

import (
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/receiver"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// maxIdempotencyKeyBytes is the length of the longest idempotency key, in bytes.
const maxIdempotencyKeyBytes = 255

// serveRoute serves calls of plain services by their configured routes.
func (h *Handler) serveRoute(w http.ResponseWriter, r *http.Request) {
	call, err := h.admitServiceCall(w, r)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	w.Header().Set("X-Request-Id", call.ID)
	answer, err := h.dispatcher.Invoke(r.Context(), call)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	if answer.GetType() != "" {
		w.Header().Set("Content-Type", answer.GetType())
	}
	writeBody(w, int(answer.GetStatus()), answer.GetBody())
}

// admitServiceCall finds the route of a request and checks that the caller may use it.
// An open route needs no key.
func (h *Handler) admitServiceCall(w http.ResponseWriter, r *http.Request) (*dispatcher.ServiceCall, error) {
	view := h.member.View()
	route, err := h.matchRoute(view, r)
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
	idempotencyKey := r.Header.Get("Idempotency-Key")
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, refuser.New(refuser.InvalidRequest, "Idempotency-Key is longer than 255 bytes")
	}
	body, err := receiver.ReadBody(w, r, h.options.MaxBodyBytes, serviceCopies)
	if err != nil {
		return nil, err
	}
	return &dispatcher.ServiceCall{
		ID:             newRequestID(),
		Key:            key,
		Route:          route,
		Path:           r.URL.EscapedPath(),
		Query:          r.URL.RawQuery,
		ContentType:    r.Header.Get("Content-Type"),
		IdempotencyKey: idempotencyKey,
		Body:           body,
		ConfigVersion:  view.Version(),
		Deadline:       deadline,
	}, nil
}

// matchRoute returns the configured route of a request.
func (h *Handler) matchRoute(view *configurer.View, r *http.Request) (*wire.Route, error) {
	var match mux.RouteMatch
	if !h.routesOf(view).Match(r, &match) || match.Route == nil {
		return nil, refuser.New(refuser.NotFound, "no such path")
	}
	return view.Route(match.Route.GetName()), nil
}

// routesOf returns a router with the routes of a view. It is built once for each
// configuration version.
func (h *Handler) routesOf(view *configurer.View) *mux.Router {
	if table := h.serviceRoutes.Load(); table != nil && table.version == view.Version() {
		return table.router
	}
	table := &routeTable{version: view.Version(), router: mux.NewRouter()}
	for _, r := range view.Routes() {
		table.router.Path(r.GetPath()).Methods(r.GetMethod()).Name(r.GetName()).HandlerFunc(http.NotFound)
	}
	h.serviceRoutes.Store(table)
	return table.router
}
