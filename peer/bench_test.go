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

// newNode returns a node on a free port that serves calls with h until the test
// ends.
func newNode(t testing.TB, secret string, h Handler) *Node {
	t.Helper()
	id, err := NewIdentity(secret, "test")
	assert.NilError(t, err)
	n, err := New("127.0.0.1:0", id)
	assert.NilError(t, err)
	go n.Serve(context.Background(), h)
	t.Cleanup(n.Close)
	return n
}

// grantWanted is a Handler that grants the tokens that a charge wants.
func grantWanted(_ context.Context, call *wire.Call, s Stream) {
	_ = s.Send(&wire.Reply{Body: &wire.Reply_Grant{Grant: &wire.Grant{Tokens: call.GetCharge().GetWant(), Epoch: 7, At: 123456}}})
}

// chargeCall is the call that the tests send.
var chargeCall = &wire.Call{Body: &wire.Call_Charge{Charge: &wire.Charge{Workspace: "tourism", Share: 1, Want: 512}}}

// BenchmarkSlopePeers measures the memory of one connection, summed over both
// ends, after a call on it.
func BenchmarkSlopePeers(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			hub := newNode(b, "secret", grantWanted)
			nodes := make([]*Node, n)
			for i := range nodes {
				nodes[i] = newNode(b, "secret", grantWanted)
			}
			before := heapAndStackBytes()
			for b.Loop() {
				for _, peer := range nodes {
					_, err := Call(context.Background(), hub, peer.Address(), chargeCall)
					assert.NilError(b, err)
				}
			}
			b.ReportMetric(float64(heapAndStackBytes()-before)/float64(n), "B/connection")
		})
	}
}

// heapAndStackBytes returns the bytes in use by heap and stacks after a garbage
// collection.
func heapAndStackBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkSlopeCall measures a call on an established connection: the CPU time
// of both ends together and the bytes on the network in both directions.
func BenchmarkSlopeCall(b *testing.B) {
	for _, parallel := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(parallel), func(b *testing.B) {
			client, server := newNode(b, "secret", grantWanted), newNode(b, "secret", grantWanted)
			ctx := context.Background()
			pc, err := client.connect(ctx, server.Address())
			assert.NilError(b, err)
			conn := pc.conn
			time.Sleep(100 * time.Millisecond)
			statsStart := conn.ConnectionStats()
			cpuStart := processorTime()
			b.ReportAllocs()
			b.SetParallelism(parallel)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := Call(ctx, client, server.Address(), chargeCall); err != nil {
						b.Error(err)
					}
				}
			})
			cpuUsed := processorTime() - cpuStart
			statsEnd := conn.ConnectionStats()
			bytes := statsEnd.BytesSent - statsStart.BytesSent + statsEnd.BytesReceived - statsStart.BytesReceived
			b.ReportMetric(float64(bytes)/float64(b.N), "wire-B/call")
			b.ReportMetric(float64(cpuUsed.Microseconds())/float64(b.N), "cpu-us/call")
		})
	}
}
