package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/program/binary"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// crowdMemoryMB is the memory of the smallest host in megabytes, and crowdDescriptors a low number of descriptors of a host.
	crowdMemoryMB    = 112
	crowdDescriptors = 300
	// crowdBodyBytes and crowdHeadBytes are the largest body and header of a caller.
	crowdBodyBytes, crowdHeadBytes = 32 << 20, 15 << 10
	// sendTimeout bounds how long a crowd sends, and holdTime is how long it stays after that.
	sendTimeout, holdTime = 8 * time.Second, time.Second
	// ordinaryTimeout bounds how long an ordinary caller repeats its request.
	ordinaryTimeout = 30 * time.Second
)

// crowd is a number of callers that connect to a gateway at once.
type crowd struct {
	name    string
	clients int
	// descriptors is the number of descriptors that the process may open; 0 for no limit.
	descriptors int
	// send writes what one caller sends. Writing fails once the connection is closed.
	send func(c *crowdClient)
	// answered is how many of the callers must get an answer of the server at least.
	answered int
}

// crowdClient is one caller of a crowd.
type crowdClient struct {
	net.Conn
	id    string
	entry *testGateway
	leave chan struct{}
}

// write writes to the connection, and reports whether it could.
func (c *crowdClient) write(data string) bool {
	_, err := io.WriteString(c.Conn, data)
	return err == nil
}

// head returns the head of a request, with more lines and without its end.
func (c *crowdClient) head(method, path, key string, lines ...string) string {
	request, err := http.NewRequest(method, "http://"+hostName+path, nil)
	if err != nil {
		return ""
	}
	platformtest.SetCallerHeaders(request, c.id, key, 10*time.Second)
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, hostName)
	_ = request.Header.Write(&head)
	for _, line := range lines {
		head.WriteString(line + "\r\n")
	}
	return head.String()
}

// body writes a request with a body of the declared length, of which it sends a part, in pieces.
func (c *crowdClient) body(path, key string, declared, sent, piece int, lines ...string) {
	if !c.write(c.head(http.MethodPost, path, key, append(lines, fmt.Sprintf("Content-Length: %d", declared))...) + "\r\n") {
		return
	}
	content := strings.Repeat("x", piece)
	for sent > 0 && c.write(content[:min(piece, sent)]) {
		sent -= min(piece, sent)
	}
}

// chunks writes a chunked request without its end.
func (c *crowdClient) chunks(size, total int) {
	if !c.write(c.head(http.MethodPost, "/safe/x", keyNorth, "Transfer-Encoding: chunked") + "\r\n") {
		return
	}
	// Many chunks are written at once, so that the client isn't what limits the rate.
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	count := max(1, 64<<10/size)
	content := strings.Repeat(chunk, count)
	for sent := 0; sent < total && c.write(content); sent += size * count {
	}
}

// crowdTrial is a gateway process with the limits of a small host before sound servers.
type crowdTrial struct {
	*deployment
	process *binary.Process
	entry   *testGateway
	// mu guards the fields below.
	mu sync.Mutex
	// answers counts the crowd's answers by status; refused holds the requests whose refusal promises that they haven't run.
	answers map[int]int
	refused []string
}

func newCrowdTrial(t *testing.T, descriptors int) *crowdTrial {
	t.Helper()
	d := newDeployment(t, 0)
	d.version++
	d.store.Configure(d.version, hostName, "m", []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 10 * time.Second},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: 10 * time.Second},
	}, map[string][]string{"north": {keyNorth}})
	trial := &crowdTrial{deployment: d, answers: map[int]int{}}
	fields := map[string]any{"memoryMB": crowdMemoryMB, "bodyLimitBytes": crowdBodyBytes}
	if descriptors > 0 {
		fields["maxDescriptors"] = descriptors
	}
	trial.process, trial.entry = d.startProcess(fields)
	if descriptors > 0 {
		if err := trial.process.LimitDescriptors(descriptors); err != nil {
			t.Fatal(err)
		}
	}
	return trial
}

// run has a crowd come and leave, and checks what the process has used.
func (trial *crowdTrial) run(c crowd) {
	trial.t.Helper()
	leave := make(chan struct{})
	var sending, clients conc.WaitGroup
	descriptors := 0
	for i := range c.clients {
		client := &crowdClient{id: fmt.Sprintf("crowd-%d", i), entry: trial.entry, leave: leave}
		conn, err := net.DialTimeout("tcp", trial.entry.set.Listen.String(), time.Second)
		if err != nil {
			// A listener whose queue is full, or that has ended, is what the ordinary call finds.
			continue
		}
		client.Conn = conn
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			c.send(client)
		})
		clients.Go(func() { trial.readAnswer(client) })
		if usage, err := trial.process.Usage(); err == nil {
			descriptors = max(descriptors, usage.Descriptors)
		}
	}
	sending.Wait()
	time.Sleep(holdTime)
	trial.ordinaryCall("during the crowd")
	if usage, err := trial.process.Usage(); err == nil {
		descriptors = max(descriptors, usage.Descriptors)
	}
	close(leave)
	clients.Wait()
	trial.ordinaryCall("after the crowd")
	trial.check(c, descriptors)
}

// readAnswer reads the answer to a caller's request, and leaves with the crowd.
func (trial *crowdTrial) readAnswer(c *crowdClient) {
	left := make(chan struct{})
	defer close(left)
	go func() {
		select {
		case <-c.leave:
		case <-left:
		}
		_ = c.Close()
	}()
	reader := bufio.NewReader(c.Conn)
	answer, err := http.ReadResponse(reader, nil)
	if err == nil && answer.StatusCode == http.StatusContinue {
		answer, err = http.ReadResponse(reader, nil)
	}
	if err == nil {
		if _, err = io.Copy(io.Discard, answer.Body); err == nil {
			trial.record(c.id, answer)
		}
	}
	<-c.leave
}

func (trial *crowdTrial) record(id string, answer *http.Response) {
	trial.mu.Lock()
	defer trial.mu.Unlock()
	trial.answers[answer.StatusCode]++
	switch answer.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		trial.refused = append(trial.refused, id)
		if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") == "" {
			trial.t.Errorf("%s: refused without Retry-After", id)
		}
	}
}

// ordinaryCall sends a small request, and repeats it as an ordinary caller does.
func (trial *crowdTrial) ordinaryCall(when string) {
	trial.t.Helper()
	var got callResult
	var err error
	for end, n := time.Now().Add(ordinaryTimeout), 0; time.Now().Before(end); n++ {
		got, err = trial.tryCall(trial.entry, http.MethodPost, "/safe/x", keyNorth, fmt.Sprintf("ordinary-%d-%s", n, when), "body")
		if err == nil && got.status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	trial.t.Errorf("%s: no answer to an ordinary request within %v: status %d, %v", when, ordinaryTimeout, got.status, err)
}

// check checks that the process lives within its limits, and that no request has run that was refused as not run.
func (trial *crowdTrial) check(c crowd, descriptors int) {
	t := trial.t
	t.Helper()
	usage, err := trial.process.Usage()
	if err != nil {
		t.Errorf("the process has ended: %v", err)
	}
	ready := 0
	if answer, err := http.Get("http://" + trial.entry.set.AdminListen.String() + "/readyz"); err == nil {
		ready = answer.StatusCode
		_ = answer.Body.Close()
	}
	trial.mu.Lock()
	defer trial.mu.Unlock()
	t.Logf("peak %.1f MB (VmHWM), now %.1f MB, descriptors %d, readiness %d, answers %v", megabytes(usage.PeakMemory), megabytes(usage.Memory),
		descriptors, ready, trial.answers)
	if usage.PeakMemory > crowdMemoryMB*1_000_000 {
		t.Errorf("peak memory %.1f MB, want %d MB at most", megabytes(usage.PeakMemory), crowdMemoryMB)
	}
	if c.descriptors > 0 && descriptors >= c.descriptors {
		t.Errorf("%d descriptors of %d are open", descriptors, c.descriptors)
	}
	if ready != http.StatusOK {
		t.Errorf("readiness is %d", ready)
	}
	if trial.answers[http.StatusOK] < c.answered {
		t.Errorf("%d of the crowd were answered, want %d at least", trial.answers[http.StatusOK], c.answered)
	}
	ran := map[string]bool{}
	for _, server := range trial.servers() {
		for _, request := range server.Requests() {
			ran[request.ID()] = true
		}
	}
	for _, id := range trial.refused {
		if ran[id] {
			t.Errorf("%s ran, and its refusal says that it hasn't", id)
		}
	}
}
