package runner

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBackendAddress guards against a service whose URL has no port, of which nobody can tell
// whether it listens: all of its answers with neither a length nor chunks were refused.
func TestBackendAddress(t *testing.T) {
	for backendURL, address := range map[string]string{
		"http://10.0.0.7:8000":  "10.0.0.7:8000",
		"http://10.0.0.7":       "10.0.0.7:http",
		"https://backend/":      "backend:https",
		"http://[::1]":          "[::1]:http",
		"http://[::1]:8000/api": "[::1]:8000",
		"/path":                 "",
	} {
		assert.Equal(t, backendAddress(backendURL), address, backendURL)
	}
}
