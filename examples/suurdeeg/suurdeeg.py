"""Example: prints the configuration of Suurdeeg Labs."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "python"))
import declarer as d

site = d.Site()
domains = {"gp-braam": 1, "gp-midrand": 2, "gp-hatfield": 2, "gp-germiston": 2}
for name, hosts in domains.items():
    site.add(d.domain(name, region="gauteng", hosts=hosts))
site.add(
    d.ceiling("suurdeeg", watts=4000, shares={name: 1000 for name in domains}),
    d.priority("chat", rank=0, deadline_ms=3_000),
    d.priority("lookups", rank=1, deadline_ms=1_000),
    d.priority("orders", rank=1, deadline_ms=5_000),
    d.priority("tagging", rank=9, deadline_ms=600_000),
    d.service(
        "oven-brain", type="model", priority="chat", objective="first-token",
        concurrency=8, idle_watts=60, run_watts=25, timeout_ms=10_000,
    ),
    d.service("crumb-shop", type="plain", priority="orders", concurrency=32, run_watts=1, timeout_ms=5_000),
    d.version("oven-1", model="oven", weights="oven-brain-1"),
    d.model("oven", service="oven-brain", version="oven-1"),
    d.store("guide-cache", domain="gp-braam", bytes=256 << 30, link_bytes=1 << 30),
    d.store("guide-cache-two", domain="gp-midrand", bytes=256 << 30, link_bytes=1 << 30),
    d.retention(keep_ms=48 * 3_600_000, log_ms=7 * 24 * 3_600_000),
)
# The teams' keys are placeholders; replace them.
for i in range(10):
    name = "route-%d" % (i + 1)
    site.add(d.team(name, d.key_hash("change-me-" + name), rate=12.5, burst=30, concurrency=24))
print(site, end="")
