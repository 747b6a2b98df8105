package faker

import (
	"io"
	"net"
	"net/http"
)

// CutAnswer returns a handler that answers each request with the given bytes, whatever they are, and
// closes the connection: by a reset if reset is set.
func CutAnswer(text string, reset bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		// The client may have closed the connection already.
		_, _ = io.WriteString(conn, text)
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	})
}
