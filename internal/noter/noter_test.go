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

// blocked is an output that never takes a line.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return len(line), nil
}

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
		t.Errorf("line got %q (%v), want one JSON object with the request", out.String(), err)
	}
}

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
			t.Errorf("Dropped() got %d of 5000, want those beyond the bounds", got)
		}
		close(release)
		cancel()
		<-done
	})
}
