package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// operatorToken is the token of the operator's account at the entries.
const operatorToken = "review-operator-token"

// orderWork is how long the order service works on an order.
const orderWork = 2 * time.Second

// ownProcess is a process of the product's own face or one of its stand-ins.
type ownProcess struct {
	*process
	Message   string `json:"message"`
	Listen    string `json:"listen"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
}

// launch starts the product's program and waits for the line with its addresses.
func launch(args ...string) *ownProcess {
	p := &ownProcess{process: &process{name: strings.Join(args, " "), done: make(chan struct{})}}
	p.command = exec.Command("target/oleanderstall", args...)
	out, err := p.command.StdoutPipe()
	check(err)
	check(p.command.Start())
	startedMu.Lock()
	started = append(started, p.process)
	startedMu.Unlock()
	ready := make(chan bool, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var line ownProcess
			if len(ready) == 0 && json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "start: ready" {
				p.Listen, p.Callers, p.Operators = line.Listen, line.Callers, line.Operators
				ready <- true
			}
		}
		_ = p.command.Wait()
		close(p.done)
	}()
	select {
	case <-ready:
	case <-time.After(20 * time.Second):
		check(fmt.Errorf("%s does not become ready", p.name))
	}
	return p
}

// ownSettings writes the settings file of a process of the own face.
func ownSettings(name, platform string, fields map[string]any) string {
	settings := map[string]any{
		"name": name, "centre": "gent-a", "peer": freePort("udp"), "platform": platform,
		"secret": "a-secret-of-the-review", "shards": 4, "lease": "2s",
	}
	for k, v := range fields {
		settings[k] = v
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	check(err)
	path := filepath.Join(folder, name+".json")
	check(os.WriteFile(path, data, 0o600))
	return path
}

// operate runs an operator's command against an entry and decodes its output.
func operate(entry *ownProcess, input string, target any, args ...string) {
	var last []byte
	for range 60 {
		command := exec.Command("target/oleanderstall", args...)
		command.Env = append(os.Environ(), "OLEANDERSTALL_ENTRY=http://"+entry.Operators, "OLEANDERSTALL_TOKEN="+operatorToken)
		command.Stdin = strings.NewReader(input)
		out, err := command.CombinedOutput()
		if err == nil && json.Unmarshal(out, target) == nil {
			return
		}
		last = out
		time.Sleep(250 * time.Millisecond)
	}
	check(fmt.Errorf("%v: %s", args, last))
}

// placeOrder sends an order with an idempotency key and returns the status, or 0 without an answer.
func placeOrder(log *record, entry *ownProcess, key, order, once string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+entry.Callers+"/orders", bytes.NewBufferString(order))
	check(err)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Idempotency-Key", once)
	r.Header.Set("X-Deadline-Ms", "8000")
	log.add("order %q, Idempotency-Key %s, to %s", order, once, entry.Callers)
	// On a connection of its own, the client does not send the order again by itself.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		log.add("order %q: no answer: %v", order, err)
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	data, _ := io.ReadAll(res.Body)
	log.add("order %q: status %d, %s", order, res.StatusCode, bytes.TrimSpace(data))
	return res.StatusCode
}

// orders kills the entry of a running order, which the caller then repeats with its idempotency key at
// the other entry. Meanwhile the platform's store comes back from a copy.
func orders(log *record, trouble bool) bool {
	platform := launch("standin", "platform")
	url := "http://" + platform.Listen
	service := launch("standin", "service", "--work", orderWork.String())
	entryFields := map[string]any{"role": "entry", "entry": map[string]any{
		"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "grace": "500ms",
		"accounts": []any{map[string]any{"name": "operator", "token": operatorToken}},
	}}
	entries := []*ownProcess{}
	for _, name := range []string{"entry-a", "entry-b"} {
		entries = append(entries, launch("entry", "--settings", ownSettings(name, url, entryFields)))
	}
	for _, name := range []string{"orders-a", "orders-b"} {
		launch("sidecar", "--settings", ownSettings(name, url, map[string]any{"role": "sidecar", "sidecar": map[string]any{
			"kind": "service", "backend": "http://" + service.Listen, "pool": "orders", "flight": "300ms",
		}}))
	}
	var plan struct {
		ID        string `json:"id"`
		Confirmed string `json:"confirmed"`
	}
	operate(entries[0], `{"workspaces": [{"name": "tourism", "rate": 1000, "burst": 1000}],
		"routes": [{"name": "reserve", "method": "POST", "path": "/orders", "pool": "orders", "workspaces": ["tourism"]}]}`, &plan, "intent", "-")
	operate(entries[0], "", &plan, "confirm", plan.ID)
	var granted struct{ Key string }
	operate(entries[0], "", &granted, "key", "grant", "tourism")
	for i, e := range entries {
		for n := 0; placeOrder(log, e, granted.Key, fmt.Sprintf("first order %d.%d", i, n), fmt.Sprintf("first-%d-%d", i, n)) != http.StatusCreated; n++ {
			time.Sleep(200 * time.Millisecond)
			if n == 100 {
				check(fmt.Errorf("no order is placed"))
			}
		}
	}
	time.Sleep(12 * time.Second)

	first := make(chan int, 1)
	go func() { first <- placeOrder(log, entries[0], granted.Key, "500 maps", "k1") }()
	time.Sleep(orderWork / 2)
	if trouble {
		log.add("entry-a is killed")
		entries[0].signal(syscall.SIGKILL)
	}
	status := <-first
	if trouble {
		log.add("the store comes back from a copy that is 5 s old")
		res, err := http.Post(url+"/restore", "application/json", strings.NewReader(`{"ago": 5000}`))
		check(err)
		_ = res.Body.Close()
	}
	time.Sleep(2 * time.Second)
	again := 0
	for n := 0; n < 20 && again != http.StatusCreated; n++ {
		again = placeOrder(log, entries[1], granted.Key, "500 maps", "k1")
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(orderWork)
	var counts struct{ Runs map[string]int }
	res, err := http.Get("http://" + service.Listen + "/runs")
	check(err)
	check(json.NewDecoder(res.Body).Decode(&counts))
	_ = res.Body.Close()
	log.say("the order got status %d at first and %d when it was repeated with its key; the service ran it %d times", status, again, counts.Runs["500 maps"])
	if again != http.StatusCreated {
		check(fmt.Errorf("the repeated order was not answered"))
	}
	return counts.Runs["500 maps"] > 1
}
