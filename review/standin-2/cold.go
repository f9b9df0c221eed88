package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// coldTarget is a stand-in of a target that can become cold. It records the requests that arrive while it is.
type coldTarget struct {
	id, address string
	record      *record
	work        time.Duration
	slots       int

	mu        sync.Mutex
	coldUntil time.Time
	arrivals  []time.Time
	running   int
	waiting   int
	free      chan struct{}
}

func newColdTarget(id string, slots int, work time.Duration, r *record) (*coldTarget, error) {
	t := &coldTarget{id: id, record: r, work: work, slots: slots, free: make(chan struct{}, slots)}
	for range slots {
		t.free <- struct{}{}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t.address = l.Addr().String()
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

func (t *coldTarget) spec(service, zone string, born time.Time, cold time.Duration) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_left_s":%g,"seq":1,"born":%d}`,
		service, t.address, zone, t.slots, cold.Seconds(), born.UnixMilli())
}

func (t *coldTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Rosemarygrade-Attempt-Id")
		if e := req.Header.Get("Rosemarygrade-Expect-Instance"); e != "" && e != t.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRosemarygrade-Attempt-Id: %s\r\nRosemarygrade-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, t.id)
			continue
		}
		now := time.Now()
		t.mu.Lock()
		cold := now.Before(t.coldUntil)
		if cold {
			t.arrivals = append(t.arrivals, now)
		}
		full := t.waiting >= t.slots
		if !full {
			t.waiting++
		}
		t.mu.Unlock()
		if cold {
			t.record.add("cold target %s gets %s", t.id, id)
		}
		if full {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRosemarygrade-Attempt-Id: %s\r\nRosemarygrade-Not-Executed: 1\r\nRosemarygrade-Server-Load: %d,%d,%d\r\nContent-Length: 0\r\n\r\n", id, t.slots, t.slots, t.slots)
			continue
		}
		<-t.free
		t.mu.Lock()
		t.waiting--
		t.running++
		t.mu.Unlock()
		time.Sleep(t.work)
		t.mu.Lock()
		t.running--
		load := fmt.Sprintf("%d,%d,%d", t.running, t.waiting, t.slots)
		t.mu.Unlock()
		t.free <- struct{}{}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRosemarygrade-Attempt-Id: %s\r\nRosemarygrade-Response-Stamp: s-%s\r\nRosemarygrade-Server-Load: %s\r\nContent-Length: 2\r\n\r\nok", id, id, load); err != nil {
			return
		}
	}
}

// clients sends requests to random hosts at a rate, each with up to one retry, until the context ends.
type clients struct {
	sent, ok, other atomic.Int64
}

func (cs *clients) run(ctx context.Context, f *fleet, perSecond, workers int) {
	var next atomic.Int64
	var group sync.WaitGroup
	begin := time.Now()
	for w := range workers {
		group.Add(1)
		go func() {
			defer group.Done()
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
				DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 12 * time.Second,
				DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
			}}
			for ctx.Err() == nil {
				n := next.Add(1)
				at := begin.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
				if time.Since(at) > 300*time.Millisecond {
					// A client that is late does not send what it missed.
					continue
				}
				sleepUntil(ctx, at)
				for try := range 2 {
					h := f.hosts[(int(n)+w+try)%len(f.hosts)]
					req, _ := http.NewRequest(http.MethodGet, "http://"+h.front+"/read/"+strconv.Itoa(int(n)), nil)
					req.Host = "web.example"
					req.Header.Set("Rosemarygrade-Attempt-Id", fmt.Sprintf("%010x%02x%04x", n, try, w))
					req.Header.Set("Rosemarygrade-Affinity-Key", strconv.Itoa(int(n)%500))
					req.Header.Set("Rosemarygrade-Deadline-Ms", "2000")
					cs.sent.Add(1)
					resp, err := client.Do(req)
					if err != nil {
						cs.other.Add(1)
						continue
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						cs.ok.Add(1)
						break
					}
					cs.other.Add(1)
				}
			}
		}()
	}
	group.Wait()
}
