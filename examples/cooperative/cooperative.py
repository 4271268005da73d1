"""Example: prints the configuration of Emaye Ustaları Kooperatifi."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "python"))
import declarer as d

site = d.Site()
for name, hosts in {"kadikoy": 3, "bursa": 2, "izmit": 2}.items():
    site.add(d.domain(name, region="marmara", hosts=hosts))
site.add(
    d.ceiling("cooperative", watts=4000, shares={"kadikoy": 1600, "bursa": 1200, "izmit": 1200}),
    d.priority("verdict", rank=0, deadline_ms=5_000),
    d.priority("orders", rank=1, deadline_ms=5_000),
    d.priority("dossier", rank=2, deadline_ms=60_000),
    d.service(
        "usta-llm", type="model", priority="dossier", objective="recompute", fencing=True,
        concurrency=8, idle_watts=60, run_watts=25, timeout_ms=20_000,
    ),
    d.service("atolye", type="plain", priority="orders", concurrency=32, run_watts=1, timeout_ms=5_000),
    d.version("usta-1", model="usta", weights="usta-enamel-1"),
    d.model("usta", service="usta-llm", version="usta-1"),
    d.store("hafiza-a", domain="kadikoy", bytes=512 << 30, link_bytes=1 << 30),
    d.store("hafiza-b", domain="bursa", bytes=512 << 30, link_bytes=1 << 30),
    d.retention(keep_ms=24 * 3_600_000, log_ms=7 * 24 * 3_600_000),
)
# The teams' keys are placeholders; replace them.
for i in range(10):
    name = "atelier-%d" % (i + 1)
    site.add(d.team(name, d.key_hash("change-me-" + name), rate=20.0, burst=40, concurrency=32))
print(site, end="")
