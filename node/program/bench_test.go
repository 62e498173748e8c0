package program_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// callsPerRate is the number of calls on each path by rate in calls per second. At 1 call/s the p99 is the second slowest of
// 120 calls.
var callsPerRate = map[int]int{1: 120, 60: 3000, 600: 12_000}

// BenchmarkAddedLatency compares the latency of calls through two nodes with that of direct calls to the back end. Both kinds
// alternate, so that they run under the same conditions. Calls start at the given rate, whether or not earlier ones have
// ended. One iteration is a whole measurement: use -benchtime=1x.
func BenchmarkAddedLatency(b *testing.B) {
	for _, rate := range []int{1, 60, 600} {
		b.Run(strconv.Itoa(rate)+"per_s", func(b *testing.B) {
			f := newFakeBackend(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("free: 3, 7, 9")) })
			entry, _ := startPair(b, newFakeControl(), f)
			for range b.N {
				measureLatency(b, rate, "http://"+f.address()+"/free", "http://"+entry.settings.CallerAddress.String()+"/free")
			}
		})
	}
}

// measureLatency reports percentiles of the latency of calls to both URLs, and their difference, in microseconds.
func measureLatency(b *testing.B, rate int, directURL, nodesURL string) {
	interval := time.Second / time.Duration(rate)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	directLatency, nodesLatency := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	call := func(url string, h *hdrhistogram.Histogram) {
		start := time.Now()
		if !getOK(client, url) {
			b.Errorf("call to %s failed", url)
			return
		}
		elapsed := time.Since(start).Microseconds()
		mu.Lock()
		defer mu.Unlock()
		_ = h.RecordValue(elapsed)
	}
	for range 50 {
		getOK(client, directURL)
		getOK(client, nodesURL)
	}
	var wg sync.WaitGroup
	tick := time.NewTicker(interval / 2)
	defer tick.Stop()
	for range callsPerRate[rate] {
		<-tick.C
		wg.Go(func() { call(directURL, directLatency) })
		<-tick.C
		wg.Go(func() { call(nodesURL, nodesLatency) })
	}
	wg.Wait()
	for _, q := range []float64{50, 99} {
		name := strconv.Itoa(int(q))
		direct, nodes := directLatency.ValueAtQuantile(q), nodesLatency.ValueAtQuantile(q)
		b.ReportMetric(float64(direct), "direct-p"+name+"-us")
		b.ReportMetric(float64(nodes), "nodes-p"+name+"-us")
		b.ReportMetric(float64(nodes-direct), "added-p"+name+"-us")
	}
}

// getOK sends a GET request and reports whether the whole response with status 200 was received.
func getOK(client *http.Client, url string) bool {
	req, err := http.NewRequest("GET", url, nil)
	if err != nil {
		return false
	}
	req.Host = "desk.example"
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// Load of BenchmarkStreamingMemory.
const (
	downloadCount = 50        // in flight at the same time
	downloadSize  = 256 << 20 // bytes
)

// BenchmarkStreamingMemory measures the resident memory while 50 large downloads stream through two nodes to slow readers. The
// result is that of the whole process, which runs both nodes, the back end and the callers. Use -benchtime=1x.
func BenchmarkStreamingMemory(b *testing.B) {
	block := make([]byte, 64<<10)
	f := newFakeBackend(b, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/book" {
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(downloadSize))
		for range downloadSize / len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	ctl := newFakeControl()
	ctl.state.RulesText += "limit desk slots=50 connections=60 queue=24 # test: all downloads at once\n"
	ctl.state.RulesText += "cold desk 50 # test: admission must not hold back a download\n"
	entry, _ := startPair(b, ctl, f)
	for range b.N {
		debug.FreeOSMemory()
		before := residentMemory(b)
		peak := readDownloads(b, entry)
		b.ReportMetric(float64(before)/(1<<20), "before-MiB")
		b.ReportMetric(float64(peak)/(1<<20), "peak-MiB")
	}
}

// readDownloads starts all downloads, reads 1 MiB of each in turn, so that all stay in flight, and returns the peak of resident
// memory in bytes.
func readDownloads(b *testing.B, node *testNode) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var conns []net.Conn
	for range downloadCount {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", node.settings.CallerAddress.String())
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "GET /book HTTP/1.1\r\nHost: desk.example\r\n\r\n")
		status := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(c, status); err != nil || string(status) != "HTTP/1.1 200" {
			b.Fatalf("%q, error %v", status, err)
		}
		conns = append(conns, c)
	}
	peak, buf := uint64(0), make([]byte, 1<<20)
	for range 32 {
		for _, c := range conns {
			if _, err := io.ReadFull(c, buf); err != nil {
				b.Fatal(err)
			}
		}
		peak = max(peak, residentMemory(b))
	}
	runtime.KeepAlive(conns)
	return peak
}

// residentMemory returns the resident memory of this process in bytes.
func residentMemory(b *testing.B) uint64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.ParseUint(strings.Fields(string(raw))[1], 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return pages * uint64(os.Getpagesize())
}
