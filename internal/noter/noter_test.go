package noter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/noter"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return len(line), nil
}

// Log tools can parse a line only if it is one complete JSON object. Run must also
// write the lines that are queued when its context ends.
func TestLinesAreCompleteJSON(t *testing.T) {
	var out bytes.Buffer
	n := noter.New(&out)
	logger := n.Logger("entry", hclog.Info)
	logger.Info("request rejected", "request", "r1")
	logger.Debug("not written")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = n.Run(ctx)
	var line struct {
		Message string `json:"@message"`
		Request string `json:"request"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil || line.Message != "request rejected" || line.Request != "r1" {
		t.Errorf("line got %q (%v), want one JSON object with its message and request", out.String(), err)
	}
}

// An output that blocks must not block requests that log. Lines that exceed the
// queue or the rate limit must be dropped and counted.
func TestBlockedOutputDropsAndCountsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		n := noter.New(blockedWriter{release})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			_ = n.Run(ctx)
			close(done)
		}()
		logger := n.Logger("entry", hclog.Info)
		for range 5000 {
			logger.Info("line")
		}
		synctest.Wait()
		if got := n.Dropped(); got < 2000 || got >= 5000 {
			t.Errorf("Dropped() got %d of 5000, want at least 2000 and fewer than 5000", got)
		}
		close(release)
		cancel()
		<-done
	})
}
