package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes is the largest line of a server-sent event, in bytes. A sidecar may hold one for each
// request that runs at its engine.
const maxEventBytes = 64 << 10

// endEvent is the data of the event that ends a stream.
const endEvent = "[DONE]"

// event is one server-sent event of a text or chat completion.
type event struct {
	// ID is the ID that the engine gave to the answer.
	ID string `json:"id"`
	// Object is "error" and Error is set in an event that reports a failure, depending on the
	// engine.
	Object  string          `json:"object"`
	Error   json.RawMessage `json:"error"`
	Choices []choice        `json:"choices"`
	Usage   *Usage          `json:"usage"`
}

// choice is one answer to a request. Every request asks for one, whose index is 0.
type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	Reason *string `json:"finish_reason"`
}

// reportsError reports whether the event states that the request failed.
func (e *event) reportsError() bool {
	return e.Object == "error" || len(e.Error) > 0 && string(e.Error) != "null"
}

// ReadEvents reads a stream of server-sent events up to its [DONE] event and calls onToken
// for each text that is not empty. It returns a StreamError if the stream is incomplete,
// can't be decoded, reports an error, goes on after its finish reason, or contains events of
// another answer, and the error of onToken if that fails.
func ReadEvents(r io.Reader, onToken func(text string) error) (Result, error) {
	s := &stream{onToken: onToken}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimSpace(value)
		switch {
		case name == "event" && value == "error":
			return s.result, &StreamError{Text: "an error event"}
		case name != "data":
			continue
		case value == endEvent:
			return s.end()
		}
		if err := s.addEvent(value); err != nil {
			return s.result, err
		}
	}
	switch err := scanner.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return s.result, &StreamError{Text: fmt.Sprintf("a line larger than %d bytes", maxEventBytes)}
	case err != nil:
		return s.result, &StreamError{Text: err.Error()}
	}
	return s.result, &StreamError{Text: "ended without " + endEvent}
}

// stream is what was read of a stream of events.
type stream struct {
	onToken func(text string) error
	result  Result
	// id is the ID of the events up to now, or empty if they had none.
	id string
}

// end returns the result, and a StreamError if the stream had no finish reason.
func (s *stream) end() (Result, error) {
	if s.result.FinishReason == "" {
		return s.result, &StreamError{Text: "ended without a finish reason"}
	}
	return s.result, nil
}

// addEvent decodes one event, passes its text on and stores its usage and finish reason.
func (s *stream) addEvent(data string) error {
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return &StreamError{Text: "undecodable event: " + err.Error()}
	}
	if e.reportsError() {
		return &StreamError{Text: "an error event: " + shorten(data)}
	}
	if s.id == "" {
		s.id = e.ID
	}
	if e.ID != "" && e.ID != s.id {
		return &StreamError{Text: "an event of another answer: " + shorten(e.ID)}
	}
	if e.Usage != nil {
		s.result.Usage = *e.Usage
	}
	for _, c := range e.Choices {
		if err := s.addChoice(c); err != nil {
			return err
		}
	}
	return nil
}

// addChoice passes the text of a choice on and stores its finish reason, after which neither
// may follow.
func (s *stream) addChoice(c choice) error {
	text := c.Text + c.Delta.Content
	ends := c.Reason != nil && *c.Reason != ""
	if c.Index != 0 {
		return &StreamError{Text: "a choice that was not asked for"}
	}
	if s.result.FinishReason != "" && (text != "" || ends) {
		return &StreamError{Text: "went on after its finish reason"}
	}
	if ends {
		s.result.FinishReason = *c.Reason
	}
	if text == "" {
		return nil
	}
	return s.onToken(text)
}
