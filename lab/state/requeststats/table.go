package requeststats

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenhill.example/core/protocol/attempt"
)

const (
	maxLatencyMicros  = int64(60 * time.Second / time.Microsecond) // latencies above it are recorded as this value
	significantDigits = 3                                          // of recorded latencies, decimal
)

// Row identifies a row of a Table: one kind of request in one phase.
type Row struct {
	Phase string
	Kind  Kind
}

// Counts holds the results of the requests of one row.
type Counts struct {
	Sent     int
	Complete int                     // complete and correct response
	NotRun   int                     // refused without having run
	Unknown  int                     // anything else
	Latency  *hdrhistogram.Histogram // microseconds, complete responses only
}

// Table counts results by row; it is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	rows   []Row // in the order of the first result
	counts map[Row]*Counts
}

// New returns an empty Table.
func New() *Table {
	return &Table{counts: map[Row]*Counts{}}
}

// Add counts one result; the latency of an incomplete response is ignored.
func (t *Table) Add(row Row, complete bool, outcome attempt.Outcome, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.countsOf(row)
	n.Sent++
	switch {
	case complete:
		n.Complete++
		_ = n.Latency.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	case outcome == attempt.NotRun:
		n.NotRun++
	default:
		n.Unknown++
	}
}

// Total returns the counts of one kind of request over all phases except one.
func (t *Table) Total(kind Kind, exceptPhase string) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := Counts{Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
	for row, n := range t.counts {
		if row.Kind != kind || row.Phase == exceptPhase {
			continue
		}
		sum.Sent += n.Sent
		sum.Complete += n.Complete
		sum.NotRun += n.NotRun
		sum.Unknown += n.Unknown
		sum.Latency.Merge(n.Latency)
	}
	return sum
}

// Write writes the table as aligned text.
func (t *Table) Write(w io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "phase\tkind\tsent\twhole\tnot run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, row := range t.rows {
		n := t.counts[row]
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", row.Phase, row.Kind, n.Sent, n.Complete, n.NotRun, n.Unknown,
			percentileMillis(n.Latency, 50), percentileMillis(n.Latency, 99), percentileMillis(n.Latency, 99.9), percentileMillis(n.Latency, 100))
	}
	return tw.Flush()
}

// countsOf returns the counts of a row, which it adds if missing. The caller holds t.mu.
func (t *Table) countsOf(row Row) *Counts {
	n, ok := t.counts[row]
	if !ok {
		n = &Counts{Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
		t.counts[row] = n
		t.rows = append(t.rows, row)
	}
	return n
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
