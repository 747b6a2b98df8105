package replayer

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

var write = flag.Bool("traces", false, "write the traces anew")

// traceSeed is the seed of the committed traces.
const traceSeed = 20261204

// TestTracesAreGenerated compares the committed traces with the generator.
func TestTracesAreGenerated(t *testing.T) {
	for _, f := range []Fleet{Plooiwerk, Granite} {
		path := "../testdata/traces/" + f.Name + ".jsonl"
		var made bytes.Buffer
		assert.NilError(t, Write(&made, Generate(f, traceSeed)))
		if *write {
			assert.NilError(t, os.WriteFile(path, made.Bytes(), 0o644))
		}
		kept, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(kept, made.Bytes()), "%s: run go test ./replayer -traces", path)
	}
}
