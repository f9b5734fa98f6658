package daemon_test

import (
	"net/http"
	"regexp"
	"testing"
	"time"
)

// keptTokens matches the log lines of streams whose target was expected to keep parts of their prompts.
var keptTokens = regexp.MustCompile(`"kept_tokens":[1-9]`)

func (l *logBuffer) matches(pattern *regexp.Regexp) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(pattern.FindAllString(l.text.String(), -1))
}

// postPrompt sends a stream that shares most of its prompt with others.
func (b *testbed) postPrompt(h *host) result {
	r := b.request(b.t.Context(), h, http.MethodPost, "/appraisal/1", "a body")
	r.Header.Set("Prompt-Prefix", "5c1e:800,91bd:1400,e440:800")
	return b.do(r)
}

// Streams with the same beginning come one after the other, each at another host.
func TestStreamsGoWhereTheirPromptIsKept(t *testing.T) {
	for name, cutOff := range map[string]bool{"the placer chooses": false, "a host is alone": true} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, options{hosts: 3, engines: 6}, func(t *testing.T, b *testbed) {
				time.Sleep(2 * time.Second)
				// Host 0 places the streams of all hosts.
				senders := b.hosts
				if cutOff {
					alone := b.hosts[1]
					for _, h := range []*host{b.hosts[0], b.hosts[2]} {
						b.network.Block(mustAddr(h.ip), mustAddr(alone.ip))
						b.network.Block(mustAddr(alone.ip), mustAddr(h.ip))
					}
					senders = []*host{alone, alone, alone}
				}
				for _, h := range senders {
					if got := b.postPrompt(h); got.status != http.StatusOK {
						t.Fatalf("status %d, error %v", got.status, got.err)
					}
					time.Sleep(time.Second)
				}
				used := 0
				for _, target := range b.targets {
					if len(target.Runs()) > 0 {
						used++
					}
				}
				if lines := b.logBuffer.matches(keptTokens); used != 1 || lines != 2 {
					t.Errorf("%d engines ran the streams, want 1; %d streams were expected to find kept parts, want 2", used, lines)
				}
			})
		})
	}
}
