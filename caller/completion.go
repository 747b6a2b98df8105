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
	"oleanderstall/receiver"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/wire"
)

// Upper bounds of the tokens that a chat template adds: to a whole prompt, and for
// each message.
const (
	maxTemplateTokens   = 64
	maxTokensPerMessage = 16
)

// prefixBytes is the length of the prompt prefix that is hashed for routing, in bytes.
const prefixBytes = 256

// completionRequest holds the fields of a model call that an entry reads, and all
// fields of the body in order to pass them on.
type completionRequest struct {
	fields       map[string]json.RawMessage
	model        string
	stream       bool
	includeUsage bool
	maxTokens    uint32
	prompt       json.RawMessage
	// messages are the messages of a chat, or the one prompt of a text completion.
	messages []json.RawMessage
}

// fieldError returns the refusal of a body in which one field is wrong.
func fieldError(field, text string) error {
	return refuser.New(refuser.InvalidRequest, "field "+field+": "+text)
}

// parseCompletion parses the body of a model call. Unknown fields are passed on to
// the engine.
func parseCompletion(body []byte, chat bool) (*completionRequest, error) {
	c := &completionRequest{}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, refuser.New(refuser.InvalidRequest, "the body is not a JSON object")
	}
	if err := c.decodeField("model", &c.model); err != nil {
		return nil, err
	}
	if c.model == "" {
		return nil, fieldError("model", "is missing")
	}
	if err := c.decodeField("stream", &c.stream); err != nil {
		return nil, err
	}
	if err := c.parseOptions(); err != nil {
		return nil, err
	}
	if chat {
		return c, c.parseChat()
	}
	return c, c.parsePrompt()
}

// decodeField decodes a field into target. It leaves target unchanged if the field is
// missing or null.
func (c *completionRequest) decodeField(name string, target any) error {
	raw, ok := c.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return fieldError(name, "has the wrong type or range")
	}
	return nil
}

// parseOptions reads the fields that both kinds of completion have.
func (c *completionRequest) parseOptions() error {
	var options struct {
		Usage bool `json:"include_usage"`
	}
	if err := c.decodeField("stream_options", &options); err != nil {
		return err
	}
	c.includeUsage = options.Usage
	choices := 1
	if err := c.decodeField("n", &choices); err != nil {
		return err
	}
	if choices != 1 {
		return fieldError("n", "must be 1")
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := c.decodeField(name, &c.maxTokens); err != nil {
			return err
		}
	}
	return nil
}

// parseChat reads the messages of a chat completion.
func (c *completionRequest) parseChat() error {
	if err := c.decodeField("messages", &c.messages); err != nil {
		return err
	}
	if len(c.messages) == 0 {
		return fieldError("messages", "is missing or empty")
	}
	c.prompt = c.fields["messages"]
	return nil
}

// parsePrompt reads the prompt of a text completion.
func (c *completionRequest) parsePrompt() error {
	var prompt string
	if err := c.decodeField("prompt", &prompt); err != nil {
		return err
	}
	if prompt == "" {
		return fieldError("prompt", "is missing or empty")
	}
	c.prompt = c.fields["prompt"]
	c.messages = []json.RawMessage{c.prompt}
	return nil
}

// tokenUpperBound returns an upper bound of the request's prompt and output tokens.
// A prompt has at most one token for each byte of the body, because a token is at
// least one byte of text and JSON encoding never shortens the text.
func (c *completionRequest) tokenUpperBound(body []byte) uint32 {
	sum := uint64(len(body)) + c.templateMessages()*maxTokensPerMessage + maxTemplateTokens + uint64(c.maxTokens)
	return uint32(min(sum, math.MaxUint32))
}

// templateMessages returns the number of messages for which a chat template adds tokens.
func (c *completionRequest) templateMessages() uint64 {
	if _, chat := c.fields["messages"]; !chat {
		return 0
	}
	return uint64(len(c.messages))
}

// messageHashes returns the hashes of the messages.
func (c *completionRequest) messageHashes() []uint64 {
	hashes := make([]uint64, len(c.messages))
	for i, message := range c.messages {
		hashes[i] = router.HashParts(message)
	}
	return hashes
}

// setOutputLimit checks the output limit against the model's context and writes it to
// max_tokens. A request without one gets defaultLimit, in tokens.
func (c *completionRequest) setOutputLimit(defaultLimit uint32, model *wire.Model) error {
	if c.maxTokens == 0 {
		c.maxTokens = min(defaultLimit, model.GetContext())
	}
	if c.maxTokens > model.GetContext() {
		return fieldError("max_tokens", fmt.Sprintf("%d is more than the model's %d tokens", c.maxTokens, model.GetContext()))
	}
	delete(c.fields, "max_completion_tokens")
	c.fields["max_tokens"] = json.RawMessage(fmt.Sprint(c.maxTokens))
	return nil
}

// prefixHash returns the hash of the model and the first prefixBytes of the prompt.
func (c *completionRequest) prefixHash() uint64 {
	return router.Hash(c.model + string(c.prompt[:min(prefixBytes, len(c.prompt))]))
}

// serveCompletion serves chat completions and text completions.
func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request) {
	chat := r.URL.Path == "/v1/chat/completions"
	call, request, err := h.admitCompletion(w, r, chat)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	w.Header().Set("X-Request-Id", call.ID)
	out := &completionWriter{w: w, request: r, id: call.ID, model: request.model, chat: chat, stream: request.stream, created: time.Now().Unix()}
	finish, err := h.dispatcher.Run(r.Context(), call, out.writeToken)
	if err != nil {
		out.fail(err)
		return
	}
	out.finish(finish, request.includeUsage)
}

// admitCompletion authenticates and parses a model call and bounds its tokens.
func (h *Handler) admitCompletion(w http.ResponseWriter, r *http.Request, chat bool) (*dispatcher.Completion, *completionRequest, error) {
	view := h.member.View()
	key, err := h.authenticate(r, view)
	if err != nil {
		return nil, nil, err
	}
	deadline, err := h.deadline(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := receiver.ReadBody(w, r, h.options.MaxBodyBytes, completionCopies)
	if err != nil {
		return nil, nil, err
	}
	request, err := parseCompletion(body, chat)
	if err != nil {
		return nil, nil, err
	}
	model, err := findModel(view, request.model, key.GetWorkspace())
	if err != nil {
		return nil, nil, err
	}
	if err := request.setOutputLimit(h.options.DefaultOutputTokens, model); err != nil {
		return nil, nil, err
	}
	forwarded, err := json.Marshal(request.fields)
	if err != nil {
		return nil, nil, refuser.New(refuser.InvalidRequest, "the body cannot be encoded")
	}
	return &dispatcher.Completion{
		ID:              newRequestID(),
		Key:             key,
		Workspace:       view.Workspace(key.GetWorkspace()),
		Model:           model,
		Chat:            chat,
		Body:            forwarded,
		Cost:            request.tokenUpperBound(body),
		MaxOutputTokens: request.maxTokens,
		PrefixHash:      request.prefixHash(),
		Messages:        request.messageHashes(),
		Digest:          router.HashParts(forwarded),
		ConfigVersion:   view.Version(),
		Deadline:        deadline,
	}, request, nil
}

// findModel returns a model that the workspace may use. The refusal for another
// workspace's model is the same as for one that does not exist.
func findModel(view *configurer.View, name, workspace string) (*wire.Model, error) {
	model := view.Model(name)
	if model == nil || !configurer.AllowsWorkspace(model, workspace) || view.Workspace(workspace) == nil {
		return nil, refuser.New(refuser.NotFound, "model "+name+" does not exist or is not for this key")
	}
	return model, nil
}

// modelInfo describes a model, in the shape of OpenAI's model object.
type modelInfo struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
	Base   string `json:"parent,omitempty"`
}

// newModelInfo returns the description of a model.
func newModelInfo(m *wire.Model) modelInfo {
	return modelInfo{ID: m.GetName(), Object: "model", Owner: "oleanderstall", Base: m.GetBase()}
}

// serveModels lists the models of the caller's workspace.
func (h *Handler) serveModels(w http.ResponseWriter, r *http.Request) {
	view := h.member.View()
	key, err := h.authenticate(r, view)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	list := struct {
		Object string      `json:"object"`
		Data   []modelInfo `json:"data"`
	}{Object: "list", Data: []modelInfo{}}
	for _, m := range view.Models() {
		if configurer.AllowsWorkspace(m, key.GetWorkspace()) {
			list.Data = append(list.Data, newModelInfo(m))
		}
	}
	writeJSON(w, http.StatusOK, list)
}

// serveModel describes one model of the caller's workspace.
func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request) {
	view := h.member.View()
	key, err := h.authenticate(r, view)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	m, err := findModel(view, mux.Vars(r)["model"], key.GetWorkspace())
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, newModelInfo(m))
}
