package peer

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func BenchmarkFrameEncode(b *testing.B) {
	b.ReportAllocs()
	f := frame{Kind: kindData, ConnectionID: 1 << 60, StreamID: 12345, Payload: make([]byte, 256)}
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
	f := frame{Kind: kindData, ConnectionID: 1 << 60, StreamID: 12345, Payload: make([]byte, 256)}
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

func BenchmarkCall(b *testing.B) {
	peers := newTestPeers(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Call[text, text](b.Context(), peers.client, peers.address, methodEcho, text{Text: "hello"}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCallParallel(b *testing.B) {
	peers := newTestPeers(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := Call[text, text](b.Context(), peers.client, peers.address, methodEcho, text{Text: "hello"}); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkOpenStream reports the memory of one open stream, both sides and the handler's goroutine
// together, as B/stream.
func BenchmarkOpenStream(b *testing.B) {
	peers := newTestPeers(b, WithMaxStreams(1<<20))
	before := memoryInUse()
	var answers []*Answer[text]
	for b.Loop() {
		answer, err := OpenStream[text, text](b.Context(), peers.client, peers.address, methodHold, text{})
		if err != nil {
			b.Fatal(err)
		}
		<-peers.handlerStarted
		answers = append(answers, answer)
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(len(answers)), "B/stream")
	close(peers.releaseHandlers)
	for _, answer := range answers {
		if _, err := readAnswer(answer); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConnection reports the memory of one idle connection, both sides together, as B/connection.
func BenchmarkConnection(b *testing.B) {
	peers := newTestPeers(b)
	before := memoryInUse()
	connections := 0
	for b.Loop() {
		client := newTestClient(b, testSecret)
		if _, err := Call[text, text](b.Context(), client, peers.address, methodEcho, text{}); err != nil {
			b.Fatal(err)
		}
		connections++
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(connections), "B/connection")
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
