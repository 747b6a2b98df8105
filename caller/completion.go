package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/wire"
)

// Upper bounds of the tokens that a chat template adds.
const (
	templateTokens = 64
	messageTokens  = 16
)

// prefixBytes is the length of the prompt's beginning that routes by prefix.
const prefixBytes = 256

// completion is the part of a model call that an entry reads.
type completion struct {
	fields   map[string]json.RawMessage
	model    string
	stream   bool
	usage    bool
	output   uint32
	messages int
	prompt   json.RawMessage
}

// fieldError refuses a body for one field.
func fieldError(field, text string) error {
	return refuser.New(refuser.Invalid, "field "+field+": "+text)
}

// parse reads a model call. Fields that it does not know are passed on.
func parse(body []byte, chat bool) (*completion, error) {
	c := &completion{}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, refuser.New(refuser.Invalid, "the body is not a JSON object")
	}
	if err := c.field("model", &c.model); err != nil {
		return nil, err
	}
	if c.model == "" {
		return nil, fieldError("model", "is missing")
	}
	if err := c.field("stream", &c.stream); err != nil {
		return nil, err
	}
	if err := c.options(); err != nil {
		return nil, err
	}
	if chat {
		return c, c.chat()
	}
	return c, c.plain()
}

// field decodes one field, if the body has it.
func (c *completion) field(name string, into any) error {
	raw, ok := c.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fieldError(name, "has the wrong type or range")
	}
	return nil
}

func (c *completion) options() error {
	var options struct {
		Usage bool `json:"include_usage"`
	}
	if err := c.field("stream_options", &options); err != nil {
		return err
	}
	c.usage = options.Usage
	choices := 1
	if err := c.field("n", &choices); err != nil {
		return err
	}
	if choices != 1 {
		return fieldError("n", "must be 1")
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := c.field(name, &c.output); err != nil {
			return err
		}
	}
	return nil
}

func (c *completion) chat() error {
	var messages []json.RawMessage
	if err := c.field("messages", &messages); err != nil {
		return err
	}
	if len(messages) == 0 {
		return fieldError("messages", "is missing or empty")
	}
	c.messages = len(messages)
	c.prompt = c.fields["messages"]
	return nil
}

func (c *completion) plain() error {
	var prompt string
	if err := c.field("prompt", &prompt); err != nil {
		return err
	}
	if prompt == "" {
		return fieldError("prompt", "is missing or empty")
	}
	c.prompt = c.fields["prompt"]
	return nil
}

// bound returns the upper bound of the request's tokens. A token stands for at
// least one byte, and JSON only lengthens a text.
func (c *completion) bound(body []byte) uint32 {
	sum := uint64(len(body)) + uint64(c.messages)*messageTokens + templateTokens + uint64(c.output)
	return uint32(min(sum, math.MaxUint32))
}

// limit sets the output limit.
func (c *completion) limit(def uint32, m *wire.Model) error {
	if c.output == 0 {
		c.output = min(def, m.GetContext())
	}
	if c.output > m.GetContext() {
		return fieldError("max_tokens", fmt.Sprintf("%d is more than the model's %d tokens", c.output, m.GetContext()))
	}
	delete(c.fields, "max_completion_tokens")
	c.fields["max_tokens"] = json.RawMessage(fmt.Sprint(c.output))
	return nil
}

func (c *completion) prefix() uint64 {
	return router.Hash(c.model + string(c.prompt[:min(prefixBytes, len(c.prompt))]))
}

// complete serves both completion calls.
func (h *Handler) complete(w http.ResponseWriter, r *http.Request) {
	chat := r.URL.Path == "/v1/chat/completions"
	m, c, err := h.admit(r, chat)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("X-Request-Id", m.ID)
	out := &writer{w: w, id: m.ID, model: c.model, chat: chat, stream: c.stream, created: time.Now().Unix()}
	finish, err := h.dispatcher.Run(r.Context(), m, out.token)
	if err != nil {
		out.fail(err)
		return
	}
	out.finish(finish, c.usage)
}

// admit authenticates, parses and bounds a model call.
func (h *Handler) admit(r *http.Request, chat bool) (*dispatcher.Model, *completion, error) {
	view := h.member.View()
	key, err := h.authenticate(r, view)
	if err != nil {
		return nil, nil, err
	}
	deadline, err := h.deadline(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := read(r)
	if err != nil {
		return nil, nil, err
	}
	c, err := parse(body, chat)
	if err != nil {
		return nil, nil, err
	}
	m, err := find(view, c.model, key.GetWorkspace())
	if err != nil {
		return nil, nil, err
	}
	if err := c.limit(h.terms.Output, m); err != nil {
		return nil, nil, err
	}
	onward, err := json.Marshal(c.fields)
	if err != nil {
		return nil, nil, refuser.New(refuser.Invalid, "the body cannot be encoded")
	}
	return &dispatcher.Model{
		ID:        newID(),
		Key:       key,
		Workspace: view.Workspace(key.GetWorkspace()),
		Model:     m,
		Chat:      chat,
		Body:      onward,
		Cost:      c.bound(body),
		Output:    c.output,
		Prefix:    c.prefix(),
		Config:    view.Version(),
		Deadline:  deadline,
	}, c, nil
}

// find returns a model that the workspace may use. A model of another workspace
// looks like one that does not exist.
func find(view *configurer.View, name, workspace string) (*wire.Model, error) {
	m := view.Model(name)
	if m == nil || !configurer.Serves(m, workspace) || view.Workspace(workspace) == nil {
		return nil, refuser.New(refuser.NotFound, "model "+name+" does not exist or is not for this key")
	}
	return m, nil
}

// entry of a model list.
type listed struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
	Base   string `json:"parent,omitempty"`
}

func listing(m *wire.Model) listed {
	return listed{ID: m.GetName(), Object: "model", Owner: "oleanderstall", Base: m.GetBase()}
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	view := h.member.View()
	key, err := h.authenticate(r, view)
	if err != nil {
		refuse(w, err)
		return
	}
	list := struct {
		Object string   `json:"object"`
		Data   []listed `json:"data"`
	}{Object: "list", Data: []listed{}}
	for _, m := range view.Models() {
		if configurer.Serves(m, key.GetWorkspace()) {
			list.Data = append(list.Data, listing(m))
		}
	}
	answer(w, http.StatusOK, list)
}

func (h *Handler) model(w http.ResponseWriter, r *http.Request) {
	view := h.member.View()
	key, err := h.authenticate(r, view)
	if err != nil {
		refuse(w, err)
		return
	}
	m, err := find(view, mux.Vars(r)["model"], key.GetWorkspace())
	if err != nil {
		refuse(w, err)
		return
	}
	answer(w, http.StatusOK, listing(m))
}
