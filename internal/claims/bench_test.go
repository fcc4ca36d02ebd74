package claims

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
)

// outsider is an entry VM that is not a member, so that every vote crosses a
// connection.
const outsider = "e9"

// BenchmarkClaim measures one claim at a time, from Begin to the decision,
// over loopback. "synced" members write and sync each vote to a file before
// they answer.
func BenchmarkClaim(b *testing.B) {
	for _, members := range []int{3, 5} {
		for _, synced := range []bool{false, true} {
			name := fmt.Sprintf("members=%d/synced=%v", members, synced)
			b.Run(name, func(b *testing.B) { benchmarkClaims(b, members, synced, 1) })
		}
	}
}

// BenchmarkClaimParallel measures the processor time of a claim for all
// members together, with several claims at a time.
func BenchmarkClaimParallel(b *testing.B) {
	for _, members := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { benchmarkClaims(b, members, false, 16) })
	}
}

func benchmarkClaims(b *testing.B, members int, synced bool, parallel int) {
	var wrap func(http.Handler) http.Handler
	if synced {
		wrap = func(next http.Handler) http.Handler { return syncFirst(b, next) }
	}
	c := newCluster(b, members, wrap)
	c.start(outsider, 1)
	c.services[outsider].OnConfig(c.view)
	var keys atomic.Int64
	h := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	results := make(chan time.Duration, 1024)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for d := range results {
			_ = h.RecordValue(d.Microseconds())
		}
	}()
	before := cpuTime()
	b.SetParallelism(max(1, parallel/runtime.GOMAXPROCS(0)))
	b.ResetTimer()
	if parallel == 1 {
		for range b.N {
			claimOnce(b, c, &keys, results)
		}
	} else {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				claimOnce(b, c, &keys, results)
			}
		})
	}
	b.StopTimer()
	close(results)
	<-done
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/claim")
}

// claimOnce claims a new key through one of the VMs and finishes it.
func claimOnce(b *testing.B, c *cluster, keys *atomic.Int64, results chan<- time.Duration) {
	n := keys.Add(1)
	begun := time.Now()
	d := c.begin(outsider, fmt.Sprintf("key-%d", n), 1)
	results <- time.Since(begun)
	if d.Kind != Proceed {
		b.Errorf("refused: %v", d.Refusal)
		return
	}
	d.Claim.Finish(&clusterpb.KeptAnswer{Status: 201, Body: []byte("ok")})
}

// syncFirst appends a record to a file and syncs it before each answer.
func syncFirst(b *testing.B, next http.Handler) http.Handler {
	f, err := os.CreateTemp(b.TempDir(), "journal")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	record := make([]byte, 256)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = f.Write(record)
		_ = f.Sync()
		next.ServeHTTP(w, r)
	})
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStoreClaim measures the decision alone, and the memory of a record.
func BenchmarkStoreClaim(b *testing.B) {
	self := claim.Member{ID: "e0", Incarnation: 1}
	c := newCluster(b, 1, nil)
	store := claim.NewStore(self, claim.Limits{Retention: time.Hour, InProgressRetention: time.Hour, MaxClaims: 1 << 30, MaxResponseBytes: 1 << 30})
	store.Adopt(0, claim.NewTimeline(nil, c.epoch))
	var m0, m1 runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m0)
	b.ResetTimer()
	for i := range b.N {
		a := claim.NewAttempt("booking", fmt.Sprintf("6f1c9a52-0000-4000-8000-%012d", i), claim.Digest{1}, "e0/1", uint64(i))
		m := &clusterpb.ClaimMessage{
			Kind:   clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_CLAIM,
			Epoch:  1,
			Record: a.Record(clusterpb.ClaimState_CLAIM_STATE_CLAIMED),
		}
		if !store.Handle(0, m).Granted {
			b.Fatal("refused")
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&m1)
	b.ReportMetric(float64(m1.HeapAlloc-m0.HeapAlloc)/float64(b.N), "B/record")
	runtime.KeepAlive(store)
}
