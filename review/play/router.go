package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/loopback"
)

// router is one lsentry process, started with the command of deploy/system.toml.
type router struct {
	maxFDs                     int
	name, settings, log        string
	frontend, ready, directory string
	command                    *exec.Cmd
	done                       chan struct{}
	mu                         sync.Mutex
	exit                       error
}

// machine holds the settings of a router's machine, with the figures of a small site.
type machine struct {
	zone      string
	memoryMB  int
	maxFDs    int
	graceS    int
	bootstrap bool
}

var svorkaMachine = machine{zone: "praha-sever", memoryMB: 284, maxFDs: 4100, graceS: 8, bootstrap: true}

func newRouter(dir, name, storeAddress string, m machine) *router {
	r := &router{name: name, maxFDs: m.maxFDs, log: filepath.Join(dir, name+".log"), settings: filepath.Join(dir, name+".json")}
	r.frontend, r.ready, r.directory = loopback.Address(), loopback.Address(), loopback.Address()
	ip, firstPort := loopback.Next()
	_, lastPort := loopback.Next()
	settings := map[string]any{
		"node_name": name, "role": "entry", "machine_class": "front_node", "serves": []string{"front_node", "registry"},
		"ip": ip, "zone": m.zone, "region": "cz-stred", "zones": map[string]string{m.zone: "cz-stred"},
		"listen":         map[string]string{"frontend": r.frontend, "ready": r.ready, "control_plane": loopback.Address(), "directory_addr": r.directory},
		"internal_ports": []int{firstPort, lastPort}, "seed_nodes": []string{}, "bootstrap": m.bootstrap, "fault_counted": false,
		"limits":   map[string]any{"cpu_quota": 0.4, "cpu_cores": 1, "memory_mb": m.memoryMB, "max_fds": m.maxFDs, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry_point": "registry", "heartbeat_ms": 1200,
		"guarantees":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": m.graceS,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "revoke_fail_closed": false, "revoke_ms": 5000,
			"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_min_extra": 54, "recovery_s": 12, "iteration_ms": 120, "reuse_window_s": 10,
			"settle_ms": 1500, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}
	data, err := json.Marshal(settings)
	if err == nil {
		err = os.WriteFile(r.settings, data, 0o600)
	}
	if err != nil {
		fail("write settings: %v", err)
	}
	return r
}

// start runs target/lsentry with the settings.
func (r *router) start() {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("open log: %v", err)
	}
	c := exec.Command("bash", "-c", "ulimit -n $0 && exec target/lsentry", strconv.Itoa(r.maxFDs)) // The limit is the platform's.
	c.Env = append(os.Environ(), "LAVENDERSHUNT_SETTINGS="+r.settings)
	c.Stdout, c.Stderr = log, log
	// The process ends with this one, whatever happens.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail("start %s: %v", r.name, err)
	}
	done := make(chan struct{})
	r.mu.Lock()
	r.command, r.done, r.exit = c, done, nil
	r.mu.Unlock()
	go func() {
		err := c.Wait()
		_ = log.Close()
		r.mu.Lock()
		r.exit = err
		r.mu.Unlock()
		close(done)
	}()
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.command.Process.Signal(s) // The process may have ended.
}

// kill ends the process and waits for its end.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	<-r.done
}

// isReady asks the router as the platform does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func awaitReady(routers []*router, limit time.Duration) {
	end := time.Now().Add(limit)
	for _, r := range routers {
		for !r.isReady() {
			if time.Now().After(end) {
				fail("%s isn't ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
