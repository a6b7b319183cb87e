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
	// tokensBeforeFault is the number of tokens that reach the caller before the fault is injected.
	tokensBeforeFault = 20
	// streamSlowFactor makes a stream of streamTokens last about three seconds.
	streamSlowFactor = 5
)

// span is a range of tokens [From, To) that one model version generated.
type span struct{ Version, From, To int }

// event is a token, the end or a refusal in a stream.
type event struct {
	Text    string
	Version int
	Done    bool
	Tokens  int
	Spans   []span
	Reason  string
}

// streamResult is what a caller received of one stream.
type streamResult struct {
	text     strings.Builder
	versions []int
	end      event
	status   int
}

// generate requests a generation without streaming.
func (c *cluster) generate(entry int, organisation, prompt string, tokens int) outcome {
	body := fmt.Sprintf(`{"prompt":%q,"maxTokens":%d}`, prompt, tokens)
	return c.do(entry, http.MethodPost, "/v1/models/"+c.deployment.Model+"/generate", body, organisation, "")
}

// stream reads a stream to its end and calls onStarted once, after tokensBeforeFault tokens or when it returns earlier.
func (c *cluster) stream(entry int, organisation, prompt string, onStarted func()) *streamResult {
	got := &streamResult{}
	var once sync.Once
	defer once.Do(onStarted)
	url := c.urls[entry] + "/v1/models/" + c.deployment.Model + "/generate"
	body := fmt.Sprintf(`{"prompt":%q,"maxTokens":%d,"stream":true}`, prompt, streamTokens)
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return got
	}
	request.Header.Set("Authorization", "Bearer "+c.deployment.Key(organisation))
	request.Header.Set("Request-Timeout", "25")
	response, err := c.client.Do(request)
	if err != nil {
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status = response.StatusCode
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return got
		}
		if e.Done || e.Reason != "" {
			got.end = e
			continue
		}
		got.text.WriteString(e.Text)
		got.versions = append(got.versions, e.Version)
		if len(got.versions) == tokensBeforeFault {
			once.Do(onStarted)
		}
	}
	return got
}

// setEngineFaults sets the faults of all engines and slows them by streamSlowFactor.
func (c *cluster) setEngineFaults(faults engine.Faults) {
	faults.SlowFactor = streamSlowFactor
	for _, e := range c.engines {
		e.SetFaults(faults)
	}
}

func (c *cluster) engineAt(host string) *engine.Server {
	for i, agent := range c.topology.Agents {
		if agent.Settings.HostID == host {
			return c.engines[i]
		}
	}
	return nil
}

// streamingHost returns the host of the agent whose engine runs a stream.
func (c *cluster) streamingHost() string {
	for i, e := range c.engines {
		if e.State().Running > 0 {
			return c.topology.Agents[i].Settings.HostID
		}
	}
	c.t.Error("no engine runs a stream")
	return c.topology.Agents[0].Settings.HostID
}

// checkStream compares a stream with the same generation without a fault.
func (c *cluster) checkStream(t *testing.T, got *streamResult, want generation) {
	t.Helper()
	if !got.end.Done || got.end.Tokens != want.Tokens || len(got.versions) != want.Tokens {
		t.Errorf("incomplete stream: status %d, %d tokens, last event %+v", got.status, len(got.versions), got.end)
		return
	}
	if got.text.String() != want.Text {
		t.Error("the text differs from that of a generation without a fault")
	}
	position := 0
	for _, s := range got.end.Spans {
		if s.From != position {
			t.Errorf("spans are not contiguous: %+v", got.end.Spans)
		}
		for ; position < s.To; position++ {
			if got.versions[position] != s.Version {
				t.Errorf("token %d has version %d but is in span %+v", position, got.versions[position], s)
				return
			}
		}
	}
	if position != want.Tokens {
		t.Errorf("spans %+v cover %d tokens", got.end.Spans, position)
	}
	t.Logf("spans %+v", got.end.Spans)
}

// A caller reads a token stream when its agent, the agent's connections, its engine or the platform fails. The stream must
// continue, if necessary at the other engine, to the same text as without the fault and with each token once. Its spans
// must name the model version that generated each token; the two engines serve different versions.
func TestStreamRunning(t *testing.T) {
	t.Parallel()
	streamFaults := append([]fault{
		{name: platformDown, inject: func(c *cluster, _ string) { c.platform.SetFaults(platform.Faults{Outage: true}) }},
		{name: longOutage, inject: func(c *cluster, _ string) {
			c.platform.SetFaults(platform.Faults{Outage: true})
			time.Sleep(longDisruption)
		}},
		{name: answerCutShort, inject: func(c *cluster, host string) { c.links[host].peer.set(forwarderMode{cutAfter: 500}) }},
		{name: "engine killed", inject: func(c *cluster, host string) { c.engineAt(host).SetFaults(engine.Faults{CutAfterTokens: 100}) }},
	}, agentFaults...)
	// This fault comes last, since both engines serve the same version once the weight switch succeeds.
	streamFaults = append(streamFaults, fault{name: weightSwitchFails, inject: func(c *cluster, _ string) {
		c.setEngineFaults(engine.Faults{FailSwaps: true})
		c.modelVersion = len(c.engines)
		c.publishVersion()
		waitFor(c.t, "a weight switch is attempted", stepTimeout, func() bool { return c.orderCount(`"kind":"switch"`) > 0 })
	}})
	for part := range 2 {
		t.Run(fmt.Sprintf("part %d", part+1), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, ticket.KindModel)
			want := c.generateReference("a pony for Saturday")
			for i, fault := range streamFaults {
				if i%2 != part {
					continue
				}
				t.Run(fault.name, func(t *testing.T) {
					c.t = t
					c.setEngineFaults(engine.Faults{})
					got := c.stream(i%2, c.deployment.Caller, "a pony for Saturday", func() { fault.inject(c, c.streamingHost()) })
					c.heal()
					c.checkStream(t, got, want)
				})
			}
		})
	}
}

// generation is the answer to a generation without streaming.
type generation struct {
	Text   string
	Tokens int
	Spans  []span
}

// generateReference returns a generation without a fault.
func (c *cluster) generateReference(prompt string) generation {
	c.t.Helper()
	var answer generation
	got := c.generate(0, c.deployment.Caller, prompt, streamTokens)
	if err := json.Unmarshal([]byte(got.body), &answer); err != nil || answer.Tokens <= tokensBeforeFault {
		c.t.Fatalf("reference generation failed or is too short: %+v", got)
	}
	return answer
}
