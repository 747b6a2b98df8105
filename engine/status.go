package engine

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"oleanderstall/decoder"
)

// statusText is the JSON text of a status.
type statusText struct {
	Capacity uint64               `json:"capacity"`
	Software json.RawMessage      `json:"version"`
	Loaded   decoder.List[Loaded] `json:"loaded"`
	Running  int                  `json:"running"`
	Memory   decoder.List[string] `json:"memory"`
	Disk     decoder.List[string] `json:"disk"`
}

// decodeStatus decodes a status. An element of a list that cannot be read is left out, apart from
// a model or an adapter whose name can be read, which is unreadable. One without a name is left
// out too.
func decodeStatus(data []byte) (Status, error) {
	var text statusText
	if err := decoder.Unmarshal(data, &text); err != nil {
		return Status{}, eris.Wrap(err, "decode engine state")
	}
	status := Status{Capacity: text.Capacity, Software: textOf(text.Software), Loaded: text.Loaded.Items(), Running: text.Running, Memory: text.Memory.Items(), Disk: text.Disk.Items()}
	for _, element := range text.Loaded.Omitted() {
		status.Loaded = append(status.Loaded, Loaded{Model: nameOf(element.Data()), Unreadable: true})
	}
	status.Loaded = slices.DeleteFunc(status.Loaded, func(l Loaded) bool { return l.Model == "" })
	return status, nil
}

// textOf returns a text, or an empty one for any other value.
func textOf(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) != nil {
		return ""
	}
	return text
}

// nameOf returns the name of a model or an adapter whose other fields cannot be read, or an
// empty one.
func nameOf(element []byte) string {
	var named struct {
		Model string `json:"model"`
	}
	if json.Unmarshal(element, &named) != nil {
		return ""
	}
	return named.Model
}
