package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"oleanderstall/wire"
)

// writer writes one model's answer, as a stream of events or as one document.
type writer struct {
	w       http.ResponseWriter
	id      string
	model   string
	chat    bool
	stream  bool
	created int64
	begun   bool
	text    strings.Builder
}

// document is a whole answer or one event of a stream, of either call.
type document struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Reason  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	Prompt uint32 `json:"prompt_tokens"`
	Output uint32 `json:"completion_tokens"`
	Total  uint32 `json:"total_tokens"`
}

// token passes on the text of one token.
func (o *writer) token(text string) error {
	if !o.stream {
		o.text.WriteString(text)
		return nil
	}
	return o.event(o.document(o.piece(text, nil)))
}

// piece is the choice of one event.
func (o *writer) piece(text string, reason *string) choice {
	c := choice{Reason: reason}
	if !o.chat {
		c.Text = &text
		return c
	}
	c.Delta = &message{Content: text}
	if !o.begun {
		c.Delta.Role = "assistant"
	}
	return c
}

func (o *writer) document(choices ...choice) document {
	object := "text_completion"
	switch {
	case o.chat && o.stream:
		object = "chat.completion.chunk"
	case o.chat:
		object = "chat.completion"
	}
	if choices == nil {
		choices = []choice{}
	}
	return document{ID: o.id, Object: object, Created: o.created, Model: o.model, Choices: choices}
}

// event writes one server-sent event.
func (o *writer) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	return o.line(string(data))
}

func (o *writer) line(data string) error {
	if !o.begun {
		o.begun = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
		o.w.WriteHeader(http.StatusOK)
	}
	if _, err := o.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return eris.Wrap(err, "write event")
	}
	return eris.Wrap(http.NewResponseController(o.w).Flush(), "write event")
}

// finish ends a whole answer.
func (o *writer) finish(f *wire.Finish, withUsage bool) {
	u := &usage{Prompt: f.GetPrompt(), Output: f.GetOutput(), Total: f.GetPrompt() + f.GetOutput()}
	reason := f.GetReason()
	if !o.stream {
		o.whole(reason, u)
		return
	}
	if o.event(o.document(o.piece("", &reason))) != nil {
		return
	}
	if withUsage {
		d := o.document()
		d.Usage = u
		if o.event(d) != nil {
			return
		}
	}
	_ = o.line("[DONE]")
}

func (o *writer) whole(reason string, u *usage) {
	text := o.text.String()
	c := choice{Reason: &reason}
	if o.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	d := o.document(c)
	d.Usage = u
	answer(o.w, http.StatusOK, d)
}

// fail ends an answer with a refusal. After the first event it is an event of
// its own, and the stream has no [DONE], so that no client takes it as whole.
func (o *writer) fail(err error) {
	if !o.begun {
		refuse(o.w, err)
		return
	}
	_ = o.event(describe(timed(err)))
}
