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
	// restWindow is long enough that the coarse processor times of the system, 10 ms, count for little.
	restWindow = 20 * time.Second
	// clockTick is the unit of processor times under /proc on this system.
	clockTick = 10 * time.Millisecond
	// zoneFollowers is half of the other hosts of a zone of 117 with two relays.
	zoneFollowers = 58
)

// BenchmarkEntryProcess measures two entries at rest as processes of their own, with the stand-in of the platform in
// the process of the benchmark, so that the processor time of each is told apart. Rows and jobs are as in entryAtRest, but
// a third entry, which is not measured, has the address of all rows beside the two and answers what they are asked. Then
// so many hosts as follow a relay of the configuration at the size to design for follow the first entry.
//
//	go test ./internal/program/capacity -run none -bench EntryProcess -benchtime 1x
func BenchmarkEntryProcess(b *testing.B) {
	program := filepath.Join(b.TempDir(), "oleandershelf")
	if out, err := exec.Command("go", "build", "-o", program, "../../..").CombinedOutput(); err != nil {
		b.Fatalf("go build: %v\n%s", err, out)
	}
	for _, rows := range (entryAtRest{}).Sizes() {
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
	l, err := d.platforms.listen(ctx)
	if err != nil {
		b.Fatal(err)
	}
	if err := d.layOut(loopback.NewAllocator(), "http://"+l.Addr().String(), zoneEntries+1, 0); err != nil {
		b.Fatal(err)
	}
	hosts := d.hosts()
	hosts = append(hosts, rowsOf(rows-len(hosts), d.entries[zoneEntries].PeerListen)...)
	if d.platform, err = newPlatform(ctx, l, hosts); err != nil {
		b.Fatal(err)
	}
	if err := configuration.NewPublisher(d.platform).Apply(ctx, 1, modelTicket(1, restJobs)); err != nil {
		b.Fatal(err)
	}
	var processes []int
	for _, set := range d.entries {
		processes = append(processes, startProcess(b, program, set))
	}
	rest, standIn := observeProcesses(ctx, b, d, processes[:zoneEntries])
	zone := &followedZone{store: standin.NewMemory(), hosts: d.hosts()[:1]}
	defer func() {
		cancel()
		zone.wait()
	}()
	zone.follow(ctx, zoneFollowers, zone.follower(ctx))
	followed, _ := observeProcesses(ctx, b, d, processes[:1])
	for i, used := range rest {
		b.ReportMetric(used, fmt.Sprintf("µs/s-entry-%d", i+1))
	}
	b.ReportMetric(followed[0], "µs/s-entry-1-followed")
	b.ReportMetric(standIn, "µs/s-stand-in")
	b.ReportMetric(0, "ns/op")
}

// observeProcesses returns the processor time of each process and of this one, in µs/s.
func observeProcesses(ctx context.Context, b *testing.B, d *deployment, processes []int) (used []float64, own float64) {
	if err := pause(ctx, 4*settle); err != nil {
		b.Fatal(err)
	}
	before := make([]time.Duration, len(processes))
	for i, process := range processes {
		before[i] = processorTime(b, process)
	}
	seen, err := observe(ctx, &d.platforms, restWindow)
	if err != nil {
		b.Fatal(err)
	}
	for i, process := range processes {
		used = append(used, (processorTime(b, process)-before[i]).Seconds()/seen.seconds*microsecondsPerSecond)
	}
	return used, seen.processor
}

// startProcess starts an entry, which ends with the benchmark, and returns its process id.
func startProcess(b *testing.B, program string, set settings.Settings) int {
	body, err := json.Marshal(map[string]any{
		"hostId": set.HostID, "availabilityZone": set.AvailabilityZone, "platformUrl": set.PlatformURL, "listen": set.Listen,
		"peerListen": set.PeerListen, "adminListen": set.AdminListen, "peerSecret": set.PeerSecret, "logLevel": "error",
	})
	if err != nil {
		b.Fatal(err)
	}
	path := filepath.Join(b.TempDir(), set.HostID+".json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		b.Fatal(err)
	}
	process := exec.Command(program, "entry", "--settings", path)
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return process.Process.Pid
}

// processorTime is what the process has used so far.
func processorTime(b *testing.B, process int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		b.Fatal(err)
	}
	// The name, in parentheses, may hold spaces; user and system time are the 12th and 13th fields after it.
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
