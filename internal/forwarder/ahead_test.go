package forwarder

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestChunkQueue guards against bytes of a response that are lost, doubled or out of order while the
// client is slow, in any order of reads and writes, and against chunks that are kept after them.
func TestChunkQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue chunkQueue
		var added, taken []byte
		buffer := make([]byte, 2*chunkBytes)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			size := rapid.IntRange(0, len(buffer)).Draw(t, "size")
			if rapid.Bool().Draw(t, "add") {
				data := bytes.Repeat([]byte{byte(len(added))}, size)
				queue.add(data)
				added = append(added, data...)
				continue
			}
			n := queue.take(buffer[:size])
			taken = append(taken, buffer[:n]...)
		}
		for queue.count() > 0 {
			n := queue.take(buffer)
			taken = append(taken, buffer[:n]...)
			if most := (len(added)-len(taken))/chunkBytes + 2; queue.count() > most {
				t.Fatalf("chunks got %d, want at most %d", queue.count(), most)
			}
		}
		if !bytes.Equal(taken, added) {
			t.Fatalf("bytes taken got %d, want the %d that were added", len(taken), len(added))
		}
	})
}
