package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/program/loopback"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const (
	// processObservationTime is long enough that the 10 ms resolution of processor times under /proc has little effect.
	processObservationTime = 20 * time.Second
	// clockTick is the unit of processor times under /proc on this system.
	clockTick = 10 * time.Millisecond
	// followersPerRelay is half of the other hosts in a zone of 117 hosts with two relays.
	followersPerRelay = 58
)

// BenchmarkEntryProcess measures two idle entries that run as separate processes, with the stand-in of the platform in the
// process of the benchmark, so that the processor time of each is known separately. Rows and jobs are as in
// idleEntryExperiment, but a third entry, which is not measured, has the address of all other rows and answers the requests
// to them. The first entry is then measured again with as many followers of the configuration as a relay has at the
// size that the system is designed for.
//
//	go test ./internal/program/capacity -run none -bench EntryProcess -benchtime 1x
func BenchmarkEntryProcess(b *testing.B) {
	program := filepath.Join(b.TempDir(), "oleandershelf")
	if out, err := exec.Command("go", "build", "-o", program, "../../..").CombinedOutput(); err != nil {
		b.Fatalf("go build: %v\n%s", err, out)
	}
	for _, rows := range (idleEntryExperiment{}).Sizes() {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			for range b.N {
				measureProcesses(b, program, rows)
			}
		})
	}
}

func measureProcesses(b *testing.B, program string, rows int) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{cancel: cancel}
	defer d.close()
	l, err := d.platformTraffic.listen(ctx)
	if err != nil {
		b.Fatal(err)
	}
	if err := d.addSettings(loopback.NewAllocator(), "http://"+l.Addr().String(), entriesPerZone+1, 0); err != nil {
		b.Fatal(err)
	}
	hosts := d.hosts()
	hosts = append(hosts, generateHosts(rows-len(hosts), d.entries[entriesPerZone].PeerListen)...)
	if d.platform, err = newPlatform(ctx, l, hosts); err != nil {
		b.Fatal(err)
	}
	if err := configuration.NewPublisher(d.platform).Apply(ctx, 1, modelTicket(1, designTrainerJobs)); err != nil {
		b.Fatal(err)
	}
	var pids []int
	for _, config := range d.entries {
		pids = append(pids, startProcess(b, program, config))
	}
	idle, standIn := observeProcesses(ctx, b, d, pids[:entriesPerZone])
	group := &configurationGroup{store: standin.NewMemory(), hosts: d.hosts()[:1]}
	defer func() {
		cancel()
		group.wait()
	}()
	group.startFollowers(ctx, followersPerRelay, group.followerStarter(ctx))
	withFollowers, _ := observeProcesses(ctx, b, d, pids[:1])
	for i, used := range idle {
		b.ReportMetric(used, fmt.Sprintf("µs/s-entry-%d", i+1))
	}
	b.ReportMetric(withFollowers[0], "µs/s-entry-1-followed")
	b.ReportMetric(standIn, "µs/s-stand-in")
	b.ReportMetric(0, "ns/op")
}

// observeProcesses returns the processor time of each process and of the benchmark's own process, in µs/s.
func observeProcesses(ctx context.Context, b *testing.B, d *deployment, pids []int) (used []float64, own float64) {
	if err := pause(ctx, 4*settleTime); err != nil {
		b.Fatal(err)
	}
	before := make([]time.Duration, len(pids))
	for i, pid := range pids {
		before[i] = processorTimeOf(b, pid)
	}
	observed, err := observe(ctx, &d.platformTraffic, processObservationTime)
	if err != nil {
		b.Fatal(err)
	}
	for i, pid := range pids {
		used = append(used, (processorTimeOf(b, pid)-before[i]).Seconds()/observed.seconds*microsecondsPerSecond)
	}
	return used, observed.processor
}

// startProcess starts an entry, which is killed at the end of the benchmark, and returns its process ID.
func startProcess(b *testing.B, program string, config settings.Settings) int {
	body, err := json.Marshal(map[string]any{
		"hostId": config.HostID, "availabilityZone": config.AvailabilityZone, "platformUrl": config.PlatformURL, "listen": config.Listen,
		"peerListen": config.PeerListen, "adminListen": config.AdminListen, "peerSecret": config.PeerSecret, "logLevel": "error",
	})
	if err != nil {
		b.Fatal(err)
	}
	path := filepath.Join(b.TempDir(), config.HostID+".json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		b.Fatal(err)
	}
	command := exec.Command(program, "entry", "--settings", path)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command.Process.Pid
}

// processorTimeOf returns the user and system time that the process has used so far.
func processorTimeOf(b *testing.B, pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// The command name, in parentheses, may contain spaces; user and system time are the 12th and 13th fields after it.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	var used time.Duration
	for _, field := range fields[11:13] {
		ticks, err := strconv.Atoi(field)
		if err != nil {
			b.Fatal(err)
		}
		used += time.Duration(ticks) * clockTick
	}
	return used
}
