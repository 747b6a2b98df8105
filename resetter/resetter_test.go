package resetter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestArm guards against an answer without length and chunks that broke off and ends as a
// complete one does, with a closed connection.
func TestArm(t *testing.T) {
	for _, c := range []struct {
		proto    string
		complete bool
	}{
		{"HTTP/1.0", true},
		{"HTTP/1.0", false},
		{"HTTP/1.1", true},
		{"HTTP/1.1", false},
	} {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			disarm := Arm(r)
			_, _ = io.WriteString(w, "text")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
			if !c.complete {
				panic(http.ErrAbortHandler)
			}
			disarm()
		}))
		server.Config.ConnContext = WithConn
		server.Start()
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET / "+c.proto+"\r\nHost: h\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		text, err := io.ReadAll(res.Body)
		assert.Equal(t, string(text), "text")
		assert.Equal(t, err == nil, c.complete, "%v: %v", c, err)
		_ = conn.Close()
		server.Close()
	}
}
