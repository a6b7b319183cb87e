package crowd

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/program/binary"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// memoryMB is the memory of the smallest host in megabytes, and fewDescriptors a low number of descriptors of a host.
	memoryMB       = 112
	fewDescriptors = 300
	// maxBodyBytes and headBytes are the largest body and header of a caller.
	maxBodyBytes, headBytes = 32 << 20, 15 << 10
	// sendTimeout bounds how long a crowd sends, and holdTime is how long it stays after that.
	sendTimeout, holdTime = 8 * time.Second, time.Second
	// callTimeout bounds one call, and is how long a caller says that it waits.
	callTimeout = 10 * time.Second
	// ordinaryTimeout bounds how long an ordinary caller repeats its request.
	ordinaryTimeout = 30 * time.Second

	key      = "key-of-north"
	hostName = "desk.example"
)

var programPath = flag.String("program", "", "gateway program that the tests run; the default is built from the source")

// crowd is a number of callers that connect to a gateway at once.
type crowd struct {
	name    string
	clients int
	// descriptors is the number of descriptors that the process may open; 0 for no limit.
	descriptors int
	// prepare is called before the crowd comes, unless it is nil.
	prepare func(tr *trial)
	// listener returns the address that the crowd connects to; nil stands for the callers' listener.
	listener func(*trial) netip.AddrPort
	// send writes what one caller sends. Writing fails once the connection is closed.
	send func(c *client)
	// answered is how many of the callers must get an answer of the server at least.
	answered int
}

// client is one caller of a crowd.
type client struct {
	net.Conn
	id string
	// leave is closed when the crowd leaves.
	leave chan struct{}
}

// write writes to the connection, and reports whether it could.
func (c *client) write(data string) bool {
	_, err := io.WriteString(c.Conn, data)
	return err == nil
}

// head returns the head of a request, with more lines and without its end.
func (c *client) head(method, path, key string, lines ...string) string {
	request, err := http.NewRequest(method, "http://"+hostName+path, nil)
	if err != nil {
		return ""
	}
	platformtest.SetCallerHeaders(request, c.id, key, callTimeout)
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, hostName)
	_ = request.Header.Write(&head)
	for _, line := range lines {
		head.WriteString(line + "\r\n")
	}
	return head.String()
}

// readJob requests results of a job, and waits for them for as long as the gateway lets it.
func (c *client) readJob(job string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+hostName+platformtest.JobTarget(job, 0), nil)
	if err != nil {
		return
	}
	platformtest.SetCallerHeaders(request, c.id, key, callTimeout)
	platformtest.SetMaxWait(request, callTimeout)
	_ = request.Write(c.Conn)
}

// body writes a request with a body of the declared length, of which it sends a part, in pieces.
func (c *client) body(path, key string, declared, sent, piece int, lines ...string) {
	if !c.write(c.head(http.MethodPost, path, key, append(lines, fmt.Sprintf("Content-Length: %d", declared))...) + "\r\n") {
		return
	}
	content := strings.Repeat("x", piece)
	for sent > 0 && c.write(content[:min(piece, sent)]) {
		sent -= min(piece, sent)
	}
}

// chunks writes a chunked request without its end.
func (c *client) chunks(size, total int) {
	if !c.write(c.head(http.MethodPost, "/safe/x", key, "Transfer-Encoding: chunked") + "\r\n") {
		return
	}
	// Many chunks are written at once, so that the client isn't what limits the rate.
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	count := max(1, 64<<10/size)
	content := strings.Repeat(chunk, count)
	for sent := 0; sent < total && c.write(content); sent += size * count {
	}
}

// trial is a gateway process with the limits of a small host before sound servers.
type trial struct {
	t       *testing.T
	servers []*platformtest.Server
	process *binary.Process
	// listen, peerListen and adminListen are the addresses of its listeners.
	listen, peerListen, adminListen netip.AddrPort
	client                          http.Client
	// mu guards the fields below.
	mu sync.Mutex
	// answers counts the crowd's answers by status; refused holds the requests whose refusal promises that they haven't run.
	answers map[int]int
	refused []string
}

// newTrial starts the platform, two services, two engines and a gateway process that may open the given number of descriptors; 0 for any.
func newTrial(t *testing.T, descriptors int) *trial {
	t.Helper()
	tr := &trial{t: t, answers: map[int]int{}, listen: platformtest.UnusedAddress(), peerListen: platformtest.UnusedAddress(),
		adminListen: platformtest.UnusedAddress()}
	tr.client.Timeout = callTimeout
	tr.client.Transport = &http.Transport{DisableKeepAlives: true}
	store := platformtest.NewStore(t)
	store.Configure(1, hostName, "m", []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: callTimeout},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: callTimeout},
	}, map[string][]string{"north": {key}})
	for i := range 2 {
		tr.servers = append(tr.servers, platformtest.NewServer(t, fmt.Sprintf("desk-%d", i), "desk", nil),
			platformtest.NewServer(t, fmt.Sprintf("engine-%d", i), "engines", map[string]int{"m": 1}))
	}
	for _, server := range tr.servers {
		store.Register(server, false)
	}
	fields := map[string]any{
		"hostId": "entry-0", "availabilityZone": "north-a", "listen": tr.listen, "peerListen": tr.peerListen, "adminListen": tr.adminListen,
		"platformUrl": store.NewEndpoint(t).URL(), "reportsUrl": platformtest.NewUsageReceiver(t).URL(), "peerSecret": "a secret of the tests",
		"usageWindow": "1s", "leaveDelay": "100ms", "drainTime": "5s", "memoryMB": memoryMB, "bodyLimitBytes": maxBodyBytes,
	}
	if descriptors > 0 {
		fields["maxDescriptors"] = descriptors
	}
	tr.start(fields)
	if descriptors > 0 {
		if err := tr.process.LimitDescriptors(descriptors); err != nil {
			t.Fatal(err)
		}
	}
	return tr
}

// start starts the process with a settings file of the fields, and waits until it serves.
func (tr *trial) start(fields map[string]any) {
	t, program := tr.t, *programPath
	t.Helper()
	if program == "" {
		built, err := binary.Path()
		if err != nil {
			t.Fatal(err)
		}
		program = built
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "entry-0.json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(path + ".log")
	if err != nil {
		t.Fatal(err)
	}
	tr.process = binary.NewProcess(program, path, log)
	if err := tr.process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		tr.process.Kill()
		_ = log.Close()
		if t.Failed() {
			// The system's temporary folder outlives the test.
			kept := filepath.Join(os.TempDir(), "crowd-"+strings.ReplaceAll(t.Name(), "/", "-")+".log")
			t.Logf("log of the gateway: %s (%v)", kept, os.Rename(log.Name(), kept))
		}
	})
	tr.ordinaryCall("before the crowd")
}

// answer is what a caller received.
type answer struct {
	status int
	body   string
}

// call sends a request as a client does.
func (tr *trial) call(path, id, body string, change func(*http.Request)) (answer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+tr.listen.String()+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Host = hostName
	platformtest.SetCallerHeaders(request, id, key, callTimeout)
	if change != nil {
		change(request)
	}
	response, err := tr.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(read)}, err
}

// run has a crowd come and leave, and checks what the process has used.
func (tr *trial) run(c crowd) {
	tr.t.Helper()
	if c.prepare != nil {
		c.prepare(tr)
	}
	address := tr.listen
	if c.listener != nil {
		address = c.listener(tr)
	}
	leave := make(chan struct{})
	var sending, clients conc.WaitGroup
	descriptors := 0
	for i := range c.clients {
		client := &client{id: fmt.Sprintf("crowd-%d", i), leave: leave}
		conn, err := net.DialTimeout("tcp", address.String(), time.Second)
		if err != nil {
			// A listener whose queue is full, or that has ended, is what the ordinary call finds.
			continue
		}
		client.Conn = conn
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			c.send(client)
		})
		clients.Go(func() { tr.readAnswer(client) })
		if usage, err := tr.process.Usage(); err == nil {
			descriptors = max(descriptors, usage.Descriptors)
		}
	}
	sending.Wait()
	time.Sleep(holdTime)
	tr.ordinaryCall("during the crowd")
	tr.awaitAnswers(c.answered)
	if usage, err := tr.process.Usage(); err == nil {
		descriptors = max(descriptors, usage.Descriptors)
	}
	close(leave)
	clients.Wait()
	tr.ordinaryCall("after the crowd")
	tr.check(c, descriptors)
}

// reset connects and resets the connection many times.
func (c *client) reset(times int) {
	for range times {
		conn, err := net.DialTimeout("tcp", c.RemoteAddr().String(), time.Second)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, c.head(http.MethodGet, "/safe/x", key))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// readAnswer reads the answer to a caller's request, and leaves with the crowd.
func (tr *trial) readAnswer(c *client) {
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
			tr.record(c.id, answer)
		}
	}
	<-c.leave
}

func (tr *trial) record(id string, answer *http.Response) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answers[answer.StatusCode]++
	switch answer.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		tr.refused = append(tr.refused, id)
		if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") == "" {
			tr.t.Errorf("%s: refused without Retry-After", id)
		}
	}
}

// awaitAnswers waits until the server has answered as many of the crowd, since a crowd that leaves gives up its requests.
func (tr *trial) awaitAnswers(count int) {
	for end := time.Now().Add(ordinaryTimeout); time.Now().Before(end) && tr.answered() < count; {
		time.Sleep(50 * time.Millisecond)
	}
}

func (tr *trial) answered() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.answers[http.StatusOK]
}

// ordinaryCall sends a small request, and repeats it as an ordinary caller does.
func (tr *trial) ordinaryCall(when string) {
	tr.t.Helper()
	var got answer
	var err error
	for end, n := time.Now().Add(ordinaryTimeout), 0; time.Now().Before(end); n++ {
		got, err = tr.call("/safe/x", fmt.Sprintf("ordinary-%d-%s", n, when), "body", nil)
		if err == nil && got.status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	tr.t.Errorf("%s: no answer to an ordinary request within %v: status %d, %v", when, ordinaryTimeout, got.status, err)
}

// check checks that the process lives within its limits, and that no request has run that was refused as not run.
func (tr *trial) check(c crowd, descriptors int) {
	t := tr.t
	t.Helper()
	usage, err := tr.process.Usage()
	if err != nil {
		t.Errorf("the process has ended: %v", err)
	}
	ready := 0
	if answer, err := http.Get("http://" + tr.adminListen.String() + "/readyz"); err == nil {
		ready = answer.StatusCode
		_ = answer.Body.Close()
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t.Logf("peak %.1f MB (VmHWM), now %.1f MB, descriptors %d, readiness %d, answers %v", megabytes(usage.PeakMemory), megabytes(usage.Memory),
		descriptors, ready, tr.answers)
	if usage.PeakMemory > memoryMB*1_000_000 {
		t.Errorf("peak memory %.1f MB, want %d MB at most", megabytes(usage.PeakMemory), memoryMB)
	}
	if c.descriptors > 0 && descriptors >= c.descriptors {
		t.Errorf("%d descriptors of %d are open", descriptors, c.descriptors)
	}
	if ready != http.StatusOK {
		t.Errorf("readiness is %d", ready)
	}
	if tr.answers[http.StatusOK] < c.answered {
		t.Errorf("%d of the crowd were answered, want %d at least", tr.answers[http.StatusOK], c.answered)
	}
	ran := map[string]bool{}
	for _, server := range tr.servers {
		for _, request := range server.Requests() {
			ran[request.ID()] = true
		}
	}
	for _, id := range tr.refused {
		if ran[id] {
			t.Errorf("%s ran, and its refusal says that it hasn't", id)
		}
	}
}

func megabytes(bytes int64) float64 { return float64(bytes) / 1_000_000 }
