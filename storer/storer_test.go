package storer

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFormatErrorLength guards against log lines as long as the data that could not be read: the
// cause may repeat a number with as many digits as a row holds.
func TestFormatErrorLength(t *testing.T) {
	var n int
	cause := json.Unmarshal([]byte(strings.Repeat("9", 1<<20)), &n)
	assert.Assert(t, cause != nil)
	message := NewFormatError("the row cannot be read", cause).Error()
	assert.Assert(t, len(message) < 1000, "%d bytes", len(message))
	assert.Assert(t, strings.HasPrefix(message, "the row cannot be read: json: cannot unmarshal number 999"))
	assert.Equal(t, NewFormatError("the row cannot be read", &MissingError{Name: "x"}).Error(), "the row cannot be read: object x does not exist")
}
