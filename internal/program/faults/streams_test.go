package faults

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/standin/engine"
	"github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const (
	streamTokens = 300
	// streamStarted tokens have reached the caller when the fault comes.
	streamStarted = 20
	// streamSlow makes a stream of streamTokens last about three seconds.
	streamSlow = 5
)

// span, token and refusal events of a stream.
type span struct{ Version, From, To int }

type event struct {
	Text    string
	Version int
	Done    bool
	Tokens  int
	Spans   []span
	Reason  string
}

// streamed is what a caller received of one stream.
type streamed struct {
	text     strings.Builder
	versions []int
	end      event
	status   int
}

// generate asks for a whole generation.
func (b *bench) generate(entry int, organisation, prompt string, tokens int) seen {
	body := fmt.Sprintf(`{"prompt":%q,"maxTokens":%d}`, prompt, tokens)
	return b.do(entry, http.MethodPost, "/v1/models/"+b.d.Model+"/generate", body, organisation, "")
}

// stream reads a stream to its end; reached is called once when streamStarted tokens have come.
func (b *bench) stream(entry int, organisation, prompt string, reached func()) *streamed {
	have := &streamed{}
	var once sync.Once
	defer once.Do(reached)
	url := b.urls[entry] + "/v1/models/" + b.d.Model + "/generate"
	body := fmt.Sprintf(`{"prompt":%q,"maxTokens":%d,"stream":true}`, prompt, streamTokens)
	q, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return have
	}
	q.Header.Set("Authorization", "Bearer "+b.d.Key(organisation))
	q.Header.Set("Request-Timeout", "25")
	response, err := b.client.Do(q)
	if err != nil {
		return have
	}
	defer func() { _ = response.Body.Close() }()
	have.status = response.StatusCode
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return have
		}
		if e.Done || e.Reason != "" {
			have.end = e
			continue
		}
		have.text.WriteString(e.Text)
		have.versions = append(have.versions, e.Version)
		if len(have.versions) == streamStarted {
			once.Do(reached)
		}
	}
	return have
}

func (b *bench) slowEngines(faults engine.Faults) {
	faults.SlowFactor = streamSlow
	for _, e := range b.engines {
		e.SetFaults(faults)
	}
}

func (b *bench) engineAt(host string) *engine.Server {
	for i, place := range b.topology.Agents {
		if place.Settings.HostID == host {
			return b.engines[i]
		}
	}
	return nil
}

// streamingAt returns the agent whose engine runs a stream.
func (b *bench) streamingAt() string {
	for i, e := range b.engines {
		if e.State().Running > 0 {
			return b.topology.Agents[i].Settings.HostID
		}
	}
	b.t.Error("no engine runs a stream")
	return b.topology.Agents[0].Settings.HostID
}

// judgeStream holds a stream against the same generation without a fault.
func (b *bench) judgeStream(t *testing.T, have *streamed, want whole) {
	t.Helper()
	if !have.end.Done || have.end.Tokens != want.Tokens || len(have.versions) != want.Tokens {
		t.Errorf("status %d, %d tokens, end %+v", have.status, len(have.versions), have.end)
		return
	}
	if have.text.String() != want.Text {
		t.Error("the text differs from that of a generation without a fault")
	}
	at := 0
	for _, s := range have.end.Spans {
		if s.From != at {
			t.Errorf("spans %+v", have.end.Spans)
		}
		for ; at < s.To; at++ {
			if have.versions[at] != s.Version {
				t.Errorf("token %d came with version %d and is in span %+v", at, have.versions[at], s)
				return
			}
		}
	}
	if at != want.Tokens {
		t.Errorf("spans %+v cover %d tokens", have.end.Spans, at)
	}
	t.Logf("spans %+v", have.end.Spans)
}

// A rider reads the tokens of an answer when the agent that streams it, its connections, its engine or the platform
// fail. The stream must go on, elsewhere if need be, to the same text as without the fault, each token once, and
// its spans must name the version of the engine that made each token: the two engines serve different ones.
func TestStreamRunning(t *testing.T) {
	t.Parallel()
	streamFaults := append([]fault{
		{name: platformDown, bring: func(b *bench, _ string) { b.platform.SetFaults(platform.Faults{Outage: true}) }},
		{name: downForLong, bring: func(b *bench, _ string) {
			b.platform.SetFaults(platform.Faults{Outage: true})
			time.Sleep(heldFor)
		}},
		{name: short, bring: func(b *bench, host string) { b.links[host].peer.set(conduct{cutAfter: 500}) }},
		{name: "engine killed", bring: func(b *bench, host string) { b.engineAt(host).SetFaults(engine.Faults{CutAfterTokens: 100}) }},
	}, agentFaults...)
	// The last, since the engines serve the same version once the swap has come through.
	streamFaults = append(streamFaults, fault{name: swapFails, bring: func(b *bench, _ string) {
		b.slowEngines(engine.Faults{FailSwaps: true})
		b.version = len(b.engines)
		b.publish()
		waitFor(b.t, "a swap is tried", stepLimit, func() bool { return b.ordered(`"kind":"switch"`) > 0 })
	}})
	for part := range 2 {
		t.Run(fmt.Sprintf("part %d", part+1), func(t *testing.T) {
			t.Parallel()
			b := newBench(t, ticket.KindModel)
			want := b.reference("a pony for Saturday")
			for i, fault := range streamFaults {
				if i%2 != part {
					continue
				}
				t.Run(fault.name, func(t *testing.T) {
					b.t = t
					b.slowEngines(engine.Faults{})
					have := b.stream(i%2, b.d.Caller, "a pony for Saturday", func() { fault.bring(b, b.streamingAt()) })
					b.heal()
					b.judgeStream(t, have, want)
				})
			}
		})
	}
}

// whole is a generation that was not streamed.
type whole struct {
	Text   string
	Tokens int
	Spans  []span
}

// reference is a generation without a fault.
func (b *bench) reference(prompt string) whole {
	b.t.Helper()
	var answer whole
	have := b.generate(0, b.d.Caller, prompt, streamTokens)
	if err := json.Unmarshal([]byte(have.body), &answer); err != nil || answer.Tokens <= streamStarted {
		b.t.Fatalf("%+v", have)
	}
	return answer
}
