package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// uploadTarget is a stand-in of a target that begins to work on an upload as soon as it has its head, and works while it reads the body.
type uploadTarget struct {
	id, address string
	record      *record
	// pause is how long it works between the first part of the body and the rest; with pauseBefore false it reads the body at once and
	// works for the same time after it.
	pause     time.Duration
	slowly    bool
	firstPart int

	mu   sync.Mutex
	runs map[string]int
	done map[string]bool
}

func newUploadTarget(id string, r *record) (*uploadTarget, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &uploadTarget{id: id, address: l.Addr().String(), record: r, runs: map[string]int{}, done: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return t, nil
}

func (t *uploadTarget) spec(service, zone string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":9,"state":"ready","cold_left_s":0,"seq":1,"born":%d}`,
		service, t.address, zone, time.Now().UnixMilli())
}

func (t *uploadTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Rosemarygrade-Attempt-Id")
		if e := req.Header.Get("Rosemarygrade-Expect-Instance"); e != "" && e != t.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRosemarygrade-Attempt-Id: %s\r\nRosemarygrade-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, t.id)
			continue
		}
		t.mu.Lock()
		t.runs[id]++
		t.mu.Unlock()
		t.record.add("target %s begins to work on %s, deadline %s ms", t.id, id, req.Header.Get("Rosemarygrade-Deadline-Ms"))
		first, err := io.CopyN(io.Discard, req.Body, int64(t.firstPart))
		if t.slowly && err == nil {
			time.Sleep(t.pause)
		}
		rest, restErr := io.Copy(io.Discard, req.Body)
		if !t.slowly {
			time.Sleep(t.pause)
		}
		if err != nil || restErr != nil {
			t.record.add("target %s: the body of %s ends after %d bytes: %v", t.id, id, first+rest, restErr)
			return
		}
		t.mu.Lock()
		t.done[id] = true
		t.mu.Unlock()
		body := "stored " + strconv.FormatInt(first+rest, 10)
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRosemarygrade-Attempt-Id: %s\r\nRosemarygrade-Response-Stamp: s-%s\r\nRosemarygrade-Server-Load: 1,0,9\r\nContent-Length: %d\r\n\r\n%s",
			id, id, len(body), body)
		t.record.add("target %s has run %s and answers 200 (%v)", t.id, id, err)
		if err != nil {
			return
		}
	}
}

const uploadConfig = `{"version":%d,"routes":{"columns":["name","host","path_prefix","type","timeout_s","slo_s","priority","service","max_attempts","sticky","home_regions","traffic_split"],` +
	`"rows":[["r0","web.example","/lab/","upload",12.0,1.5,1,"laboratorio",2,false,[],null]]},` +
	`"services":{"columns":["name","health_path","max_conns","protocol","tls","warmup_s","cold_per_s"],"rows":[["laboratorio","/health",390,"h1",false,3.0,15.0]]},` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`

// slowUpload sends uploads, then stops one process as planned while their target works on them.
func slowUpload(ctx context.Context, f *fleet, trouble bool) (broken []string, err error) {
	const uploads, bodyBytes, pause, grace = 6, 300 << 10, 3 * time.Second, 6 * time.Second
	t, err := newUploadTarget("i-lab-1", f.record)
	if err != nil {
		return nil, err
	}
	t.pause, t.slowly, t.firstPart = pause, trouble, 16<<10
	f.store.set("config", "main", fmt.Sprintf(uploadConfig, 7))
	f.store.set("servers", t.id, t.spec("laboratorio", "north-a"))
	if err := f.startHosts(2, nil); err != nil {
		return nil, err
	}
	// Longer than stability_window_s.
	sleepUntil(ctx, time.Now().Add(5*time.Second))
	h := f.hosts[0]
	type result struct {
		id            string
		sent, ended   time.Time
		status        int
		body          string
		err           error
		stamped, kept bool
	}
	results := make([]result, uploads)
	var group sync.WaitGroup
	begin := time.Now()
	for i := range uploads {
		group.Add(1)
		go func() {
			defer group.Done()
			r := &results[i]
			r.id = fmt.Sprintf("upload%010x", i+1)
			client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			req, _ := http.NewRequest(http.MethodPost, "http://"+h.front+"/lab/batch", bytes.NewReader(bytes.Repeat([]byte("x"), bodyBytes)))
			req.Host = "web.example"
			req.Header.Set("Rosemarygrade-Attempt-Id", r.id)
			req.Header.Set("Rosemarygrade-Deadline-Ms", "12000")
			r.sent = time.Now()
			f.record.add("client sends %s to %s, %d bytes", r.id, h.name, bodyBytes)
			resp, err := client.Do(req)
			if err == nil {
				var b []byte
				b, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				r.status, r.body, r.stamped = resp.StatusCode, string(b), resp.Header.Get("Rosemarygrade-Response-Stamp") != ""
			}
			r.err, r.ended = err, time.Now()
			f.record.add("client gets for %s: status %d, stamp %v, body %q, error %v", r.id, r.status, r.stamped, r.body, err)
		}()
	}
	sleepUntil(ctx, begin.Add(500*time.Millisecond))
	term := time.Now()
	f.signal(h, syscall.SIGTERM)
	group.Wait()
	for _, r := range results {
		complete := r.err == nil && r.status == http.StatusOK && r.stamped
		counted := r.ended.Before(term.Add(grace*5/6)) && r.ended.After(term)
		t.mu.Lock()
		runs, done := t.runs[r.id], t.done[r.id]
		t.mu.Unlock()
		if !complete && counted && runs > 0 && !done {
			broken = append(broken, fmt.Sprintf("LOST: %s was passed on; the target was at work; %.2f s after the SIGTERM the client got status %d (%v) in place of the target's answer",
				r.id, r.ended.Sub(term).Seconds(), r.status, r.err))
		}
	}
	return broken, nil
}
