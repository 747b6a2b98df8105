package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"oleanderstall/receiver"
	"oleanderstall/refuser"
	"oleanderstall/resetter"
	"oleanderstall/wire"
)

// completionWriter writes the answer to one model call, as a stream of server-sent
// events or as one JSON document.
type completionWriter struct {
	w       http.ResponseWriter
	id      string
	model   string
	chat    bool
	stream  bool
	created int64
	// started is set with the first event, which writes the headers.
	started bool
	// request is the caller's request, and disarm is called at the end of a complete stream; see
	// resetter.Arm.
	request *http.Request
	disarm  func()
	// text collects the answer if it is not streamed.
	text strings.Builder
	// reserved is the length of text for which memory is reserved.
	reserved int
}

// completion is a whole answer or one event of a stream, of a chat or text completion.
type completion struct {
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

// writeToken sends the text of one token as an event, or collects it if the answer is
// not streamed.
func (o *completionWriter) writeToken(text string) error {
	if !o.stream {
		return o.collect(text)
	}
	return o.writeEvent(o.newCompletion(o.eventChoice(text, nil)))
}

// Sizes of an answer that is collected.
const (
	// maxTextBytes bounds its text, whatever a backend server sends.
	maxTextBytes = 8 << 20
	// textStep is the number of bytes that are reserved at a time.
	textStep = 4 << 10
	// textCopies is the number of copies of the text that are in memory in the end: as collected,
	// encoded, and as it grows.
	textCopies = 3
)

// collect adds the text of a token to an answer that is not streamed.
func (o *completionWriter) collect(text string) error {
	total := o.text.Len() + len(text)
	if total > maxTextBytes {
		return refuser.MayHaveRun(refuser.BackendFailed, "the answer is too long")
	}
	for o.reserved < total {
		if receiver.Reserve(o.request.Context(), textCopies*textStep) != nil {
			return refuser.MayHaveRun(refuser.ConnectionLost, "there is no room for the answer")
		}
		o.reserved += textStep
	}
	o.text.WriteString(text)
	return nil
}

// eventChoice returns the choice of one event. The first event of a chat names the role.
func (o *completionWriter) eventChoice(text string, reason *string) choice {
	c := choice{Reason: reason}
	if !o.chat {
		c.Text = &text
		return c
	}
	c.Delta = &message{Content: text}
	if !o.started {
		c.Delta.Role = "assistant"
	}
	return c
}

// newCompletion returns an answer or event with the choices.
func (o *completionWriter) newCompletion(choices ...choice) completion {
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
	return completion{ID: o.id, Object: object, Created: o.created, Model: o.model, Choices: choices}
}

// writeEvent sends v as JSON in one server-sent event.
func (o *completionWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	return o.writeData(string(data))
}

// writeData sends one server-sent event and flushes it. The first one writes the headers.
func (o *completionWriter) writeData(data string) error {
	if !o.started {
		o.started = true
		o.disarm = resetter.Arm(o.request)
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
		o.w.WriteHeader(http.StatusOK)
	}
	if _, err := o.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return eris.Wrap(err, "write event")
	}
	return eris.Wrap(http.NewResponseController(o.w).Flush(), "write event")
}

// finish ends a complete answer. A stream gets an event with the token counts if
// withUsage is set. Once a write has failed, the rest is not sent and the answer is cut.
func (o *completionWriter) finish(f *wire.Finish, withUsage bool) {
	tokens := &usage{Prompt: f.GetPrompt(), Output: f.GetOutput(), Total: f.GetPrompt() + f.GetOutput()}
	reason := f.GetReason()
	if !o.stream {
		o.writeWhole(reason, tokens)
		return
	}
	if err := o.endStream(reason, tokens, withUsage); err != nil {
		cutAnswer()
	}
	o.disarm()
}

// endStream writes the last events of a complete stream.
func (o *completionWriter) endStream(reason string, tokens *usage, withUsage bool) error {
	if err := o.writeEvent(o.newCompletion(o.eventChoice("", &reason))); err != nil {
		return err
	}
	if withUsage {
		last := o.newCompletion()
		last.Usage = tokens
		if err := o.writeEvent(last); err != nil {
			return err
		}
	}
	return o.writeData("[DONE]")
}

// writeWhole writes the collected answer as one document.
func (o *completionWriter) writeWhole(reason string, tokens *usage) {
	text := o.text.String()
	c := choice{Reason: &reason}
	if o.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	whole := o.newCompletion(c)
	whole.Usage = tokens
	writeJSON(o.w, http.StatusOK, whole)
}

// fail ends an answer with a refusal. If the stream has started, the refusal is sent
// as an event, [DONE] is left out and the answer is cut, so that no client takes it as
// complete.
func (o *completionWriter) fail(err error) {
	if !o.started {
		writeRefusal(o.w, err)
		return
	}
	// An answer that cannot be written any more is cut as well.
	_ = o.writeEvent(newErrorResponse(withRetryAfter(err)))
	cutAnswer()
}

// cutAnswer ends an answer that has begun and cannot be completed: it panics, so that
// net/http closes the connection without the end of the body.
func cutAnswer() {
	panic(http.ErrAbortHandler)
}

// writeBody writes a whole answer. Its length shows whether all of it arrived. If it cannot
// be written, the answer is cut.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		cutAnswer()
	}
}
