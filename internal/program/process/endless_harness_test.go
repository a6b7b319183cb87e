package process

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/program/binary"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

var programPath = flag.String("program", "", "gateway program that the tests with processes run; the default is built from the source")

const (
	// faultyCount is how many services answer without end, and how many such answers at once a gateway must bear.
	faultyCount = 8
	// An order goes to a fifth of the engines at once.
	faultyEngineCount, faultyOrderedCount = faultyCount, 5 * faultyCount
	// endlessGroups is the number of groups of two items in a job.
	endlessGroups                    = 8
	endlessEvents, endlessEventPause = 20, 30 * time.Millisecond
	// maxCloseTime is how long an answer without end may stay open at a server that sends at full speed.
	maxCloseTime = time.Second
	// maxEndlessProcessorTime is the processor time for the answers without end: one core while they may stay open.
	maxEndlessProcessorTime = maxCloseTime
	// endlessObservation is how long the answers are observed if the gateway doesn't close them.
	endlessObservation = 4 * time.Second
	// abortMemory is the resident memory in bytes at which a measured process is killed.
	abortMemory    = 1500_000_000
	sampleInterval = 10 * time.Millisecond
)

// endlessTrial is a gateway process before sound servers and servers that can answer without end.
type endlessTrial struct {
	*deployment
	process                       *binary.Process
	entry                         *testGateway
	faultyServices, faultyEngines []*platformtest.Server
	// processor is the time that the gateway used until the answers without end were closed, and next the time until the formerly faulty
	// servers have served requests after that; 0 if they haven't.
	processor, next time.Duration
	// runDelay is how long the threads of the gateway waited for a processor until then, in sum.
	runDelay time.Duration

	// peak is the largest resident memory of the process in bytes, and unread the largest number of bytes that the kernel held for it.
	peak, unread int64
	// soundTimes are the times of the calls to sound servers, and soundFailures those that failed.
	soundTimes    []time.Duration
	soundFailures []string
}

// newEndlessTrial starts the servers, with the given number of engines that can answer without end, and the gateway process, and waits until
// it serves. The end of the test checks what the process has used.
func newEndlessTrial(t *testing.T, engines int) *endlessTrial {
	t.Helper()
	d := newDeployment(t, 0)
	trial := &endlessTrial{deployment: d}
	for i := range faultyCount {
		trial.faultyServices = append(trial.faultyServices, platformtest.NewServer(t, fmt.Sprintf("faulty-desk-%d", i), "faulty", nil))
	}
	for i := range engines {
		trial.faultyEngines = append(trial.faultyEngines,
			platformtest.NewServer(t, fmt.Sprintf("faulty-engine-%d", i), "engines", map[string]int{"m": 1}))
	}
	d.services = append(d.services, trial.faultyServices...)
	d.engines = append(d.engines, trial.faultyEngines...)
	for _, engine := range d.engines {
		engine.SetStream(endlessEvents, endlessEventPause)
	}
	d.version++
	d.store.Configure(d.version, hostName, "m", []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 3 * time.Second},
		{Name: "faulty", Kind: platformtest.Once, Pool: "faulty", Timeout: 3 * time.Second},
		{Name: "score", Kind: platformtest.Idempotent, Pool: "faulty", Timeout: 3 * time.Second},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: 10 * time.Second},
	}, map[string][]string{"north": {keyNorth}})
	for _, server := range d.servers() {
		d.store.Register(server, false)
	}
	trial.startProcess()
	t.Cleanup(trial.check)
	done := make(chan struct{})
	var work conc.WaitGroup
	work.Go(func() { trial.watch(done) })
	t.Cleanup(func() {
		close(done)
		work.Wait()
	})
	return trial
}

func (trial *endlessTrial) startProcess() {
	trial.t.Helper()
	trial.process, trial.entry = trial.runProcess(trial.settings("entry-0", trial.store.NewEndpoint(trial.t)), "/safe/x")
}

// runProcess runs a gateway as a process of its own, which is killed at the end of the test. It returns once a call to the path is answered.
func (d *deployment) runProcess(set settings.Settings, path string) (*binary.Process, *testGateway) {
	t, program := d.t, *programPath
	t.Helper()
	if program == "" {
		built, err := binary.Path()
		if err != nil {
			t.Fatal(err)
		}
		program = built
	}
	fields, err := json.Marshal(map[string]any{
		"hostId": set.HostID, "availabilityZone": set.AvailabilityZone, "listen": set.Listen, "peerListen": set.PeerListen,
		"adminListen": set.AdminListen, "platformUrl": set.PlatformURL, "reportsUrl": set.ReportsURL, "peerSecret": set.PeerSecret,
		"usageWindow": set.UsageWindow.String(), "leaveDelay": set.LeaveDelay.String(), "drainTime": set.DrainTime.String(),
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), set.HostID+".json")
	if err := os.WriteFile(file, fields, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(file + ".log")
	if err != nil {
		t.Fatal(err)
	}
	process := binary.NewProcess(program, file, log)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.Kill()
		_ = log.Close()
		if t.Failed() {
			// The system's temporary folder outlives the test.
			kept := filepath.Join(os.TempDir(), "gateway-"+strings.ReplaceAll(t.Name(), "/", "-")+".log")
			t.Logf("log of the gateway: %s (%v)", kept, os.Rename(log.Name(), kept))
		}
	})
	entry := &testGateway{set: set, url: "http://" + set.Listen.String(), closed: true}
	d.eventually("the gateway process serves", func() bool {
		got, err := d.tryCall(entry, http.MethodPost, path, keyNorth, "first", "")
		return err == nil && got.status == http.StatusOK
	})
	return process, entry
}

// faulty returns the servers that can answer without end.
func (trial *endlessTrial) faulty() []*platformtest.Server {
	return slices.Concat(trial.faultyServices, trial.faultyEngines)
}

// firstOnly makes the servers answer the first request with each ID without end, and others as usual.
func firstOnly(servers []*platformtest.Server, behaviour platformtest.Behaviour) {
	var mu sync.Mutex
	seen := map[string]bool{}
	for _, server := range servers {
		server.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
			mu.Lock()
			defer mu.Unlock()
			if seen[r.ID()] {
				return platformtest.Answer
			}
			seen[r.ID()] = true
			return behaviour
		})
	}
}

// observe runs begin, which causes answers without end, and loads sound servers until all these answers are closed, or for
// endlessObservation.
func (trial *endlessTrial) observe(begin func()) {
	trial.t.Helper()
	before, delayBefore := trial.processorTime(), trial.totalRunDelay()
	done := make(chan struct{})
	var work conc.WaitGroup
	work.Go(func() { trial.callSoundServers(done) })
	var requests conc.WaitGroup
	requests.Go(begin)
	for end := time.Now().Add(endlessObservation); time.Now().Before(end) && !trial.allClosed(); time.Sleep(sampleInterval) {
		if _, err := trial.process.Usage(); err != nil {
			break
		}
	}
	trial.processor = max(0, trial.processorTime()-before)
	trial.runDelay = max(0, trial.totalRunDelay()-delayBefore)
	close(done)
	work.Wait()
	for _, server := range trial.faulty() {
		server.SetBehaviour(nil)
		server.SetStateBehaviour(nil)
		server.SetOrderBehaviour(nil)
	}
	requests.Wait()
}

// processorTime returns the processor time that the process has used; 0 if it has ended.
func (trial *endlessTrial) processorTime() time.Duration {
	usage, err := trial.process.Usage()
	if err != nil {
		trial.t.Errorf("the gateway process has ended: %v", err)
	}
	return usage.Processor
}

// totalRunDelay returns how long the threads of the process have waited for a processor; 0 if it has ended.
func (trial *endlessTrial) totalRunDelay() time.Duration {
	// processorTime reports a process that has ended.
	delay, _ := trial.process.RunDelay()
	return delay
}

// watch records the memory of the process and the bytes that the kernel holds for it, and kills the process if it takes too much.
func (trial *endlessTrial) watch(done chan struct{}) {
	ports := map[uint64]bool{}
	for _, server := range trial.faulty() {
		ports[uint64(server.Address().Port())] = true
	}
	for {
		select {
		case <-done:
			return
		case <-time.After(sampleInterval):
		}
		usage, err := trial.process.Usage()
		if err != nil {
			continue
		}
		trial.peak = max(trial.peak, usage.PeakMemory)
		trial.unread = max(trial.unread, unreadBytes(ports))
		if usage.Memory > abortMemory {
			trial.t.Errorf("the gateway process is killed at %d MB", usage.Memory/1_000_000)
			trial.process.Kill()
		}
	}
}

// unreadBytes returns how many bytes the kernel holds that the servers on the ports have sent and their callers haven't read.
func unreadBytes(ports map[uint64]bool) int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	var unread int64
	for line := range strings.Lines(string(table)) {
		// The fields are the number, the local and the remote address, the state, and the lengths of both queues, all in hexadecimal.
		fields := strings.Fields(line)
		if len(fields) < 5 {
			continue
		}
		_, remotePort, _ := strings.Cut(fields[2], ":")
		_, queue, _ := strings.Cut(fields[4], ":")
		port, portErr := strconv.ParseUint(remotePort, 16, 16)
		length, lengthErr := strconv.ParseInt(queue, 16, 64)
		if portErr == nil && lengthErr == nil && ports[port] {
			unread += length
		}
	}
	return unread
}

// callSoundServers sends one call after the other to sound servers.
func (trial *endlessTrial) callSoundServers(done chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(sampleInterval):
		}
		id, began := fmt.Sprintf("sound-%d", n), time.Now()
		got, err := trial.tryCall(trial.entry, http.MethodPost, "/safe/x", keyNorth, id, "body of "+id)
		trial.soundTimes = append(trial.soundTimes, time.Since(began))
		if err != nil || got.status != http.StatusOK || !strings.HasSuffix(got.body, "body of "+id) {
			trial.soundFailures = append(trial.soundFailures, fmt.Sprintf("%s: status %d, body %q, error %v", id, got.status, got.body, err))
		}
	}
}

// sent returns the answers without end of all servers.
func (trial *endlessTrial) sent() []platformtest.SentAnswer {
	var sent []platformtest.SentAnswer
	for _, server := range trial.faulty() {
		sent = append(sent, server.SentAnswers()...)
	}
	return sent
}

// allClosed reports whether as many answers as expected have begun and all are closed.
func (trial *endlessTrial) allClosed() bool {
	sent := trial.sent()
	return len(sent) >= faultyCount && !slices.ContainsFunc(sent, func(a platformtest.SentAnswer) bool { return a.ClosedAt.IsZero() })
}

// check reports the figures of the trial and checks their bounds.
func (trial *endlessTrial) check() {
	t, now := trial.t, time.Now()
	t.Helper()
	var slowest time.Duration
	open, atOnce := 0, 0
	sent := trial.sent()
	for i, answer := range sent {
		if answer.ClosedAt.IsZero() {
			open++
			sent[i].ClosedAt = now
		}
		slowest = max(slowest, sent[i].ClosedAt.Sub(answer.BeganAt))
	}
	for _, each := range sent {
		atOnce = max(atOnce, len(slices.DeleteFunc(slices.Clone(sent), func(other platformtest.SentAnswer) bool {
			return other.BeganAt.After(each.BeganAt) || !other.ClosedAt.After(each.BeganAt)
		})))
	}
	slices.Sort(trial.soundTimes)
	t.Logf("peak %.1f MB, unread %.1f MB, processor %v, waited for a processor %v, %d answers, %d at once, closed within %v, %d open, "+
		"%d sound calls: p50 %v, max %v, %d failed, next request after %v", megabytes(trial.peak), megabytes(trial.unread), trial.processor,
		trial.runDelay.Round(time.Millisecond), len(sent), atOnce, slowest.Round(time.Millisecond), open, len(trial.soundTimes), quantile(trial.soundTimes, 0.5),
		quantile(trial.soundTimes, 1), len(trial.soundFailures), trial.next.Round(time.Millisecond))
	if len(sent) < faultyCount {
		t.Errorf("%d answers without end, want %d at least", len(sent), faultyCount)
	}
	// A host counts the bytes that its kernel holds for a process as the memory of the process.
	if trial.peak+trial.unread > binary.SmallestHostMemory {
		t.Errorf("peak memory %.1f MB, and %.1f MB unread, want %.1f MB at most", megabytes(trial.peak), megabytes(trial.unread),
			megabytes(binary.SmallestHostMemory))
	}
	if open > 0 || slowest > maxCloseTime {
		t.Errorf("%d answers are open, and one was for %v, want %v at most", open, slowest, maxCloseTime)
	}
	if trial.processor > maxEndlessProcessorTime {
		t.Errorf("processor time %v, want %v at most", trial.processor, maxEndlessProcessorTime)
	}
	for _, failure := range trial.soundFailures {
		t.Errorf("call to a sound server: %s", failure)
	}
}

// quantile returns a quantile of sorted times; 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

func megabytes(bytes int64) float64 { return float64(bytes) / 1e6 }
