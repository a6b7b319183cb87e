package platform_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// addressVariable names the environment variable with the address of the platform, in the process that sends an order.
const addressVariable = "HELD_ORDER_ADDRESS"

// sendHeldOrder sends an order that is larger than the receive buffer of the platform.
func sendHeldOrder(t *testing.T, address string) {
	t.Helper()
	client := platform.NewClient("http://"+address, platform.WithCallTimeout(500*time.Millisecond))
	defer client.Close()
	order := platform.ServerOrder{AvailabilityZone: "north-a", Pool: strings.Repeat("x", 8000), Count: 1, Fencing: 1}
	if err := client.Order(t.Context(), order); err == nil {
		t.Error("the order was answered")
	}
}

// Guards against an order that is held up while its process is killed or paused, and reaches the platform later. Only the kernel can drop it.
func TestHeldOrderIsDropped(t *testing.T) {
	if address := os.Getenv(addressVariable); address != "" {
		sendHeldOrder(t, address)
		return
	}
	for _, test := range []struct {
		name   string
		signal syscall.Signal
	}{{"killed", syscall.SIGKILL}, {"paused", syscall.SIGSTOP}} {
		t.Run(test.name, func(t *testing.T) {
			config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1); err != nil {
						t.Error(err)
					}
				})
			}}
			listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			command := exec.CommandContext(context.Background(), os.Args[0], "-test.run=^TestHeldOrderIsDropped$")
			command.Env = append(os.Environ(), addressVariable+"="+listener.Addr().String())
			if err := command.Start(); err != nil {
				t.Fatal(err)
			}
			defer func() {
				_ = command.Process.Kill()
				_ = command.Wait()
			}()
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReaderSize(conn, 16)
			if _, err := reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			if err := command.Process.Signal(test.signal); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1500 * time.Millisecond)
			request, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(request.Body); err == nil {
				t.Errorf("the whole order of %d bytes arrived", len(body))
			}
		})
	}
}
