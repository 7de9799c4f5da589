package fleet_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// Columns of /proc/net/tcp.
const (
	localColumn  = 1
	remoteColumn = 2
	inodeColumn  = 9
	columns      = 10
)

// socketOf returns the name under which the process at the other end of an
// accepted loopback connection holds its socket; empty if the socket is closed.
func socketOf(accepted net.Conn) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close() //nolint:errcheck // only read
	local := socketAddress(accepted.RemoteAddr())
	remote := socketAddress(accepted.LocalAddr())
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) >= columns && fields[localColumn] == local && fields[remoteColumn] == remote {
			return "socket:[" + fields[inodeColumn] + "]"
		}
	}
	return ""
}

// socketAddress writes an IPv4 address as /proc/net/tcp does.
func socketAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// holds says whether a process holds a socket.
func (p *process) holds(socket string) bool {
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	if err != nil || socket == "" {
		return false
	}
	for _, descriptor := range descriptors {
		if name, err := os.Readlink(descriptor); err == nil && name == socket {
			return true
		}
	}
	return false
}

// registry knows the zones of processes.
type registry struct {
	mu    sync.Mutex
	zones map[*process]string
}

func (r *registry) add(p *process, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.zones == nil {
		r.zones = map[*process]string{}
	}
	r.zones[p] = zone
}

// zoneOf returns the zone of the process at the other end of a connection.
func (r *registry) zoneOf(near net.Conn) string {
	socket := socketOf(near)
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, zone := range r.zones {
		if p.holds(socket) {
			return zone
		}
	}
	return ""
}

func (f *forwarder) sourceZone(near net.Conn) string {
	if f.zoneOf == nil {
		return ""
	}
	return f.zoneOf(near)
}

// refuses says whether a new connection from a zone is cut.
func (f *forwarder) refuses(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blocked == nil || !f.blocked(zone) {
		return false
	}
	f.refused++
	return true
}

// block cuts connections, old and new, from some zones; nil ends that.
func (f *forwarder) block(blocked func(zone string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
	for l := range f.links {
		if blocked != nil && blocked(l.zone) {
			f.refused++
			_ = l.near.Close()
			_ = l.far.Close()
		}
	}
}
