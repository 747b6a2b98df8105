package peer

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// node returns a listening node.
func node(t testing.TB, secret string, h Handler) *Node {
	t.Helper()
	id, err := NewIdentity(secret, "test")
	assert.NilError(t, err)
	n, err := New("127.0.0.1:0", id)
	assert.NilError(t, err)
	go n.Serve(context.Background(), h)
	t.Cleanup(n.Close)
	return n
}

func echo(_ context.Context, call *wire.Call, s Stream) {
	_ = s.Send(&wire.Reply{Body: &wire.Reply_Grant{Grant: &wire.Grant{Tokens: call.GetCharge().GetWant(), Epoch: 7, At: 123456}}})
}

var charge = &wire.Call{Body: &wire.Call_Charge{Charge: &wire.Charge{Workspace: "tourism", Share: 1, Want: 512}}}

// BenchmarkSlopePeers measures the memory of one connection at both ends
// together, after one call on each.
func BenchmarkSlopePeers(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			center := node(b, "secret", echo)
			nodes := make([]*Node, n)
			for i := range nodes {
				nodes[i] = node(b, "secret", echo)
			}
			before := heap()
			for b.Loop() {
				for _, peer := range nodes {
					_, err := One(context.Background(), center, peer.Address(), charge)
					assert.NilError(b, err)
				}
			}
			b.ReportMetric(float64(heap()-before)/float64(n), "B/connection")
		})
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkSlopeCall measures one call on a connection that stands: processor
// time of both ends together and bytes on the network in both directions.
func BenchmarkSlopeCall(b *testing.B) {
	for _, parallel := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(parallel), func(b *testing.B) {
			client, server := node(b, "secret", echo), node(b, "secret", echo)
			ctx := context.Background()
			l, err := client.connect(ctx, server.Address())
			assert.NilError(b, err)
			conn := l.conn
			time.Sleep(100 * time.Millisecond)
			start := conn.ConnectionStats()
			begun := cpu()
			b.ReportAllocs()
			b.SetParallelism(parallel)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := One(ctx, client, server.Address(), charge); err != nil {
						b.Error(err)
					}
				}
			})
			used := cpu() - begun
			end := conn.ConnectionStats()
			bytes := end.BytesSent - start.BytesSent + end.BytesReceived - start.BytesReceived
			b.ReportMetric(float64(bytes)/float64(b.N), "wire-B/call")
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/call")
		})
	}
}
