package receiver

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/refuser"
)

// TestReadAnswer guards against an answer that is cut or read far beyond the limit, and against
// memory for it that is not reserved.
func TestReadAnswer(t *testing.T) {
	const limit = 50_000
	for _, n := range []int{0, 1, limit, limit + 1, 10 * limit} {
		a := &fakeAccount{limit: 1 << 30}
		body, err := ReadAnswer(WithAccount(context.Background(), a), bytes.NewReader(make([]byte, n)), limit)
		assert.NilError(t, err)
		assert.Equal(t, len(body), min(n, limit+1))
		assert.Assert(t, a.held >= int64(len(body)))
	}
	a := &fakeAccount{limit: limit / 2}
	_, err := ReadAnswer(WithAccount(context.Background(), a), bytes.NewReader(make([]byte, limit)), limit)
	var room *RoomError
	assert.Assert(t, errors.As(err, &room))
	// The request has run, so that a refusal that says it has not must not be in the error.
	assert.Assert(t, !refuser.FromError(err).NeverRan())
}
