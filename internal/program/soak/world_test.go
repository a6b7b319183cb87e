package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/program/binary"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	hostName  = "desk.example"
	processes = 3
	servers   = 3
	// mendTime is how long a run may take until all is well again after its last disturbance.
	mendTime = 40 * time.Second
	poll     = 50 * time.Millisecond
	// itemEvents is how many events the output of an item has, eventPause the time between two of them.
	itemEvents = 12
	eventPause = 15 * time.Millisecond
)

// process is one gateway as a process of its own; it starts again at the same addresses.
type process struct {
	name, callers, ready, settings string
	door                           *platformtest.Door
	// link is where the other processes reach this one.
	link    *link
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

// world is the platform's stand-ins with the processes before them.
type world struct {
	t         *testing.T
	store     *platformtest.Store
	duties    *platformtest.Duties
	services  []*platformtest.Server
	engines   []*platformtest.Server
	processes []*process

	mu      sync.Mutex
	version int
	weights int
	// keys are those in force for the organisation north, with the time of their withdrawal in retired.
	key     string
	retired map[string]time.Time
	// isolated are the times at which a process could not hear the others or the store.
	isolated []span
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: platformtest.NewStore(t), duties: platformtest.NewDuties(t), weights: 1, retired: map[string]time.Time{}}
	for i := range servers {
		w.services = append(w.services, platformtest.NewServer(t, fmt.Sprintf("desk-%d", i), "desk", nil))
		w.engines = append(w.engines, platformtest.NewServer(t, fmt.Sprintf("engine-%d", i), "engines", map[string]int{"m": 1}))
		w.engines[i].SetStream(itemEvents, eventPause)
	}
	w.newKey()
	for _, server := range w.all() {
		w.store.Register(server, false)
	}
	seed := platformtest.Address()
	for i := range processes {
		w.processes = append(w.processes, w.newProcess(i, seed))
	}
	for _, p := range w.processes {
		w.start(p)
	}
	for _, p := range w.processes {
		w.until("process is ready", func() bool { return isReady(p) })
	}
	return w
}

func (w *world) all() []*platformtest.Server {
	return append(append([]*platformtest.Server{}, w.services...), w.engines...)
}

// newKey gives the organisation another key and withdraws the former one.
func (w *world) newKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	former := w.key
	w.key = fmt.Sprintf("key-%d", w.version)
	w.store.Configure(w.version, hostName, "m", []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 3 * time.Second},
		{Name: "once", Kind: platformtest.Once, Pool: "desk", Timeout: 3 * time.Second},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: 3 * time.Second},
	}, map[string][]string{"north": {w.key}})
	if former != "" {
		w.retired[former] = time.Now()
	}
}

func (w *world) currentKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.key
}

func (w *world) newProcess(number int, seed netip.AddrPort) *process {
	p := &process{name: fmt.Sprintf("entry-%d", number), door: w.store.NewDoor(w.t)}
	advertised, peers := seed, platformtest.Address()
	if number > 0 {
		advertised = platformtest.Address()
	}
	var err error
	if p.link, err = newLink(advertised, peers); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(p.link.close)
	callers, ready := platformtest.Address(), platformtest.Address()
	p.callers, p.ready = "http://"+callers.String(), "http://"+ready.String()+"/readyz"
	folder := w.t.TempDir()
	p.settings = filepath.Join(folder, "settings.json")
	settings, err := json.Marshal(map[string]any{
		"hostId": p.name, "availabilityZone": "north-a", "listen": callers, "peerListen": peers, "peerAdvertise": advertised, "adminListen": ready,
		"platformUrl": p.door.URL(), "reportsUrl": w.duties.URL(), "seeds": []netip.AddrPort{seed}, "usageWindow": "1s",
		"leaveDelay": "500ms", "drainTime": "6s", "peerSecret": "the secret of the soak",
	})
	if err != nil {
		w.t.Fatal(err)
	}
	if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
		w.t.Fatal(err)
	}
	p.log, err = os.Create(filepath.Join(folder, "log"))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		p.wait()
		_ = p.log.Close()
		if w.t.Failed() {
			w.keepLog(p)
		}
	})
	return p
}

// keepLog copies the log of a failed run to where it outlives the test.
func (w *world) keepLog(p *process) {
	content, err := os.ReadFile(p.log.Name())
	if err != nil {
		w.t.Error(err)
		return
	}
	path := filepath.Join(os.TempDir(), "soak-"+filepath.Base(w.t.Name())+"-"+p.name+".log")
	w.t.Logf("log of %s: %s (%v)", p.name, path, os.WriteFile(path, content, 0o600))
}

// start starts a process that doesn't run.
func (w *world) start(p *process) {
	path, err := binary.Path()
	if err != nil {
		w.t.Error(err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil && !isClosed(p.ended) {
		return
	}
	p.command = exec.Command(path, "gateway", "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		w.t.Error(err)
		return
	}
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process if it runs; only processes that this run started are ever signalled.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil && !isClosed(p.ended) {
		_ = p.command.Process.Signal(signal)
	}
}

// wait waits until the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func isReady(p *process) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(p.ready)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) until(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(mendTime); time.Now().Before(end); time.Sleep(poll) {
		if holds() {
			return
		}
	}
	w.t.Errorf("not within %v: %s", mendTime, what)
}
