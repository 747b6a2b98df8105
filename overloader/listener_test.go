package overloader

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// listenerLimits are the limits of a process whose listeners are loaded one after another.
var listenerLimits = limits{memory: 144e6, descriptors: 700}

// listenerLoads are the crowds at listeners other than that for callers.
var listenerLoads = slices.Concat(connectionLoads, []load{bodyLoads[0], bodyLoads[3], bodyLoads[4]})

// loadListeners opens the crowds at each of the listeners, one after another.
func loadListeners(t *testing.T, p *instance, targets map[string]target, ordinary map[string]func() error) {
	for name, to := range targets {
		for _, l := range listenerLoads {
			t.Run(name+", "+l.name, func(t *testing.T) { checkLoad(t, p, listenerLimits, to, l, ordinary[name]) })
		}
	}
}

// getRequest returns a function that sends a request to a path and expects status 200.
func getRequest(t testing.TB, url string, header ...string) func() error {
	return func() error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		assert.NilError(t, err)
		for i := 0; i+1 < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		return expectStatus(req, http.StatusOK)
	}
}

// both returns a function that succeeds if both functions do.
func both(a, b func() error) func() error {
	return func() error {
		if err := a(); err != nil {
			return err
		}
		return b()
	}
}

// plainTarget returns a listener whose requests are for the given paths.
func plainTarget(address, post, get, header string) target {
	head := " HTTP/1.1\r\nHost: site.example\r\n" + header
	return target{address: address, bodyHead: "POST " + post + head, plainHead: "GET " + get + head}
}

// TestHostedListeners guards against a hosted entry that ends, hangs or exceeds its memory or its
// descriptors because of a crowd at its listeners for readiness checks and metrics, and against such a
// crowd that keeps callers out.
func TestHostedListeners(t *testing.T) {
	entry, ready := startHosted(t, listenerLimits)
	callers := hostedRequest(t, entry)
	loadListeners(t, entry, map[string]target{
		"ready": plainTarget(ready, "/v1/readyz", "/v1/readyz", ""),
		"admin": plainTarget(entry.Admin, "/metrics", "/metrics", ""),
	}, map[string]func() error{
		"ready": both(callers, getRequest(t, "http://"+ready+"/v1/readyz")),
		"admin": both(callers, getRequest(t, "http://"+entry.Admin+"/healthz")),
	})
}

// TestNativeListeners guards against an entry of the native API that ends, hangs or exceeds its memory
// or its descriptors because of a crowd at its listeners for operators and metrics. The crowd has an
// operator's token.
func TestNativeListeners(t *testing.T) {
	n := startNative(t, listenerLimits)
	loadListeners(t, n.entry, map[string]target{
		"operators": plainTarget(n.entry.Operators, "/v1/intents", "/v1/status", "Authorization: Bearer "+testToken+"\r\n"),
		"admin":     plainTarget(n.entry.Admin, "/metrics", "/metrics", ""),
	}, map[string]func() error{
		"operators": both(n.request(t), getRequest(t, "http://"+n.entry.Operators+"/v1/status", "Authorization", "Bearer "+testToken)),
		"admin":     both(n.request(t), getRequest(t, "http://"+n.entry.Admin+"/healthz")),
	})
}

// Sizes of the crowd at the port for peers.
const (
	peerSockets   = 200
	peerDatagrams = 50
	datagramBytes = 1200
	peerDials     = 200
)

// TestPeerPorts guards against an entry or a sidecar that ends or exceeds its memory because of
// datagrams that are no messages, or of connections without the fleet's secret.
func TestPeerPorts(t *testing.T) {
	n := startNative(t, listenerLimits)
	for name, p := range map[string]*instance{"entry": n.entry, "sidecar": n.sidecar} {
		t.Run(name, func(t *testing.T) {
			crowd := load{send: func(target, net.Conn) {}}
			sendDatagrams(t, p.Peer)
			dialPeers(t, p.Peer)
			checkLoad(t, p, listenerLimits, target{}, crowd, n.request(t))
		})
	}
}

// sendDatagrams sends datagrams that look like the first of a connection.
func sendDatagrams(t testing.TB, address string) {
	for i := range peerSockets {
		conn, err := net.Dial("udp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		for j := range peerDatagrams {
			// The first bytes are those of an Initial packet of QUIC version 1 with two IDs of 8 bytes.
			datagram := append([]byte{0xc3, 0, 0, 0, 1, 8, byte(i), byte(j), 1, 2, 3, 4, 5, 6, 8}, make([]byte, datagramBytes)...)
			_, _ = conn.Write(datagram[:datagramBytes])
		}
	}
}

// dialPeers opens connections without a certificate of the fleet.
func dialPeers(t testing.TB, address string) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var dials sync.WaitGroup
	for range peerDials {
		dials.Go(func() {
			conn, err := quic.DialAddr(ctx, address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"oleanderstall"}}, nil)
			if err == nil {
				_ = conn.CloseWithError(0, "")
			}
		})
	}
	dials.Wait()
}

// streamMembers is the number of callers that do not read their streams.
const streamMembers = 30

// TestUnreadStreams guards against an entry that holds what a backend server sends faster than its
// caller reads. The streams have no end within the test.
func TestUnreadStreams(t *testing.T) {
	entry := startHostedSite(t, smallest, imitator.SiteOptions{
		Engines: 1, Services: 1, Models: 1, ModelsPerEngine: 1, EventsPerStream: 1 << 30, LoadTime: 50 * time.Millisecond, Rate: 1e9, Burst: 1e9,
	})
	stream := load{members: streamMembers, send: func(_ target, conn net.Conn) {
		write(conn, fmt.Appendf(nil, "POST /draft/one HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Model: %s\r\nX-Token-Count: 100,50\r\nContent-Length: 0\r\n\r\n",
			imitator.SiteHost, imitator.SiteKey, imitator.SiteModel(0)))
	}}
	checkLoad(t, entry, smallest, hostedTarget(entry), stream, hostedRequest(t, entry))
}
