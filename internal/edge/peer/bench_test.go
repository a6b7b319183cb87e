package peer

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func BenchmarkFrameEncode(b *testing.B) {
	b.ReportAllocs()
	f := frame{Kind: kindData, Incarnation: 1 << 60, Stream: 12345, Payload: make([]byte, 256)}
	var buf bytes.Buffer
	encoder := msgpack.NewEncoder(nil)
	for b.Loop() {
		buf.Reset()
		if err := appendFrame(&buf, encoder, f); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFrameDecode(b *testing.B) {
	b.ReportAllocs()
	var buf bytes.Buffer
	f := frame{Kind: kindData, Incarnation: 1 << 60, Stream: 12345, Payload: make([]byte, 256)}
	if err := appendFrame(&buf, msgpack.NewEncoder(nil), f); err != nil {
		b.Fatal(err)
	}
	source := bytes.NewReader(nil)
	reader := newFrameReader(source, defaultMaxFrame)
	for b.Loop() {
		source.Reset(buf.Bytes())
		if _, err := reader.next(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAsk(b *testing.B) {
	bench := newBench(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Ask[text, text](b.Context(), bench.client, bench.address, methodEcho, text{Text: "hello"}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAskParallel(b *testing.B) {
	bench := newBench(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := Ask[text, text](b.Context(), bench.client, bench.address, methodEcho, text{Text: "hello"}); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkOpenStream reports the memory of one open stream, both sides and the handler's goroutine
// together, as B/stream.
func BenchmarkOpenStream(b *testing.B) {
	bench := newBench(b, WithMaxStreams(1<<20))
	before := memory()
	var open []*Answer[text]
	for b.Loop() {
		a, err := Open[text, text](b.Context(), bench.client, bench.address, methodHold, text{})
		if err != nil {
			b.Fatal(err)
		}
		<-bench.started
		open = append(open, a)
	}
	b.ReportMetric(float64(memory()-before)/float64(len(open)), "B/stream")
	close(bench.release)
	for _, a := range open {
		if _, err := readAll(a); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConnection reports the memory of one idle connection, both sides together, as B/connection.
func BenchmarkConnection(b *testing.B) {
	bench := newBench(b)
	before := memory()
	count := 0
	for b.Loop() {
		client := newTestClient(b, testSecret)
		if _, err := Ask[text, text](b.Context(), client, bench.address, methodEcho, text{}); err != nil {
			b.Fatal(err)
		}
		count++
	}
	b.ReportMetric(float64(memory()-before)/float64(count), "B/connection")
}

func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
