#!/usr/bin/env python3
"""Runs one steerd and one entryd with a configuration of the planned size and prints their memory and CPU time.

26 regions with 102 data centres, 2,100 services and placements, 370,000 caller blocks. The single
host has every role for every object, more than any host of a fleet has. Exits after about 40 seconds.
"""
import json
import os
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PLATFORM, HOST = "127.0.9.1:7000", "127.0.9.2"
REGIONS, SITES, BLOCKS = 26, 2100, 370_000
PAGE_MB, TICKS = os.sysconf("SC_PAGE_SIZE") / 2**20, os.sysconf("SC_CLK_TCK")


def put_object(kind, name, spec):
    url = f"http://{PLATFORM}/v1/objects/{kind}/{name}?ifVersion=0"
    data = json.dumps({"spec": spec}).encode()
    urllib.request.urlopen(urllib.request.Request(url, data=data, method="PUT")).read()


def write_objects():
    for r in range(REGIONS):
        put_object("region", f"r{r}", {
            "dataCentres": [f"r{r}-{c}" for c in range(4 if r < 24 else 3)], "maxHosts": 122,
            "callerBlocks": [f"{20 + r}.{i // 256}.{i % 256}.0/24" for i in range(BLOCKS // REGIONS)],
            "links": [{"to": f"r{o}", "bitsPerSecond": 4 * 10**9, "latencyMillis": 20} for o in range(REGIONS) if o != r]})
    for i in range(SITES):
        servers = [{"address": f"10.{i // 250}.{i % 250}.{k}:80", "dataCentre": f"r{i % REGIONS}-{i % 3}", "batch": "b", "slots": 3}
                   for k in (1, 2, 3)]
        put_object("placement", f"p{i}", {"service": f"s{i}", "servers": servers})
        put_object("service", f"s{i}", {"routes": [{"prefix": f"/s{i}"}], "class": "live", "deadlineMillis": 1000})


def resource_usage(pid):
    with open(f"/proc/{pid}/statm") as f:
        resident = int(f.read().split()[1]) * PAGE_MB
    with open(f"/proc/{pid}/stat") as f:
        fields = f.read().rpartition(")")[2].split()
    return resident, (int(fields[11]) + int(fields[12])) / TICKS


def main():
    binary = os.path.join(ROOT, ".build", "bin")
    with tempfile.TemporaryDirectory() as folder:
        common = {"host": "h", "dataCentre": "r0-0", "region": "r0"}
        settings = {
            "steerd": {"lookupAddress": HOST + ":7100", "peerAddress": HOST + ":7101", "adminAddress": HOST + ":7102",
                       "platformAddress": PLATFORM},
            "entryd": {"callerAddress": HOST + ":7200", "peerAddress": HOST + ":7201", "adminAddress": HOST + ":7202",
                       "steerds": [HOST + ":7101"]}}
        started = [subprocess.Popen([os.path.join(binary, "standin"), "platform", "--address", PLATFORM])]
        try:
            time.sleep(0.5)
            write_objects()
            for name, fields in settings.items():
                path = os.path.join(folder, name + ".json")
                with open(path, "w") as f:
                    json.dump({**common, **fields}, f)
                started.append(subprocess.Popen([os.path.join(binary, name), "--settings", path], stderr=subprocess.DEVNULL))
            for second in range(10, 41, 10):
                time.sleep(10)
                for name, p in zip(settings, started[1:]):
                    resident, cpu = resource_usage(p.pid)
                    print(f"{second} s: {name} {resident:.1f} MB, {cpu:.2f} s of processor time")
        finally:
            for p in started:
                p.kill()
                p.wait()


main()
