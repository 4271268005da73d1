"""Builds a lacewingrelay configuration that prints byte-identical to the output of the
Go package pkg/declarer.

Usage:

    site = Site()
    site.add(domain("kadikoy", region="marmara", hosts=3))
    site.add(priority("chat", rank=0, deadline_ms=10_000))
    print(site, end="")

Check the printed file with "lacewingrelay check" and publish it with
"lacewingrelay publish". Times are in milliseconds, rates per second, power in
watts, sizes in bytes. The module needs Python 3.8 and no other package.
"""

import hashlib
import json

RULES = 1
KINDS = ["domain", "ceiling", "priority", "team", "service", "model", "version", "store", "retention"]


class Site:
    """Collects the objects of one configuration."""

    def __init__(self):
        self._objects = []

    def add(self, *objects):
        """Adds objects to the configuration."""
        self._objects.extend(objects)

    def __str__(self):
        ordered = sorted(self._objects, key=lambda o: (KINDS.index(o["kind"]), o["name"]))
        lines = ",".join("\n" + _encode(o) for o in ordered)
        return '{\n"rules":%d,\n"objects":[%s\n]\n}\n' % (RULES, lines)


def key_hash(key):
    """Returns the hash of a team's bearer key, which the team is declared with."""
    return hashlib.sha256(key.encode()).hexdigest()


def domain(name, region, hosts):
    """Declares a failure domain and the number of its hosts that run nodes."""
    return _object("domain", name, region=region, hosts=hosts)


def ceiling(name, watts, shares):
    """Declares the power ceiling; shares maps each failure domain to its part in watts."""
    return _object("ceiling", name, watts=watts, shares=dict(sorted(shares.items())))


def priority(name, rank, deadline_ms):
    """Declares a priority class.

    Requests of a lower rank are served first. A request waits for admission for
    deadline_ms at most.
    """
    return _object("priority", name, rank=rank, deadline_ms=deadline_ms)


def team(name, key_hash, rate, burst, concurrency):
    """Declares a team; key_hash is the result of key_hash().

    rate and burst limit its requests, concurrency its running requests, over all nodes.
    """
    return _object("team", name, key_hash=key_hash, rate=rate, burst=burst, concurrency=concurrency)


def service(name, type, priority, concurrency, run_watts, timeout_ms, objective="", fencing=False, idle_watts=0):
    """Declares a service; type is "model" or "plain".

    concurrency is the maximum number of running requests on one endpoint, idle_watts
    the power of an endpoint without requests, run_watts the additional power of each
    running request. objective applies to model services only.
    """
    members = dict(type=type, priority=priority)
    if objective:
        members["objective"] = objective
    members.update(
        fencing=fencing, concurrency=concurrency, idle_watts=idle_watts, run_watts=run_watts, timeout_ms=timeout_ms
    )
    return _object("service", name, **members)


def model(name, service, version):
    """Declares a model and the version that serves new requests."""
    return _object("model", name, service=service, version=version)


def version(name, model, weights):
    """Declares a version of a model and the name of its weights."""
    return _object("version", name, model=model, weights=weights)


def store(name, domain, bytes, link_bytes):
    """Declares a service of store hosts.

    bytes and link_bytes are the capacity and the bandwidth of one host.
    """
    return _object("store", name, domain=domain, bytes=bytes, link_bytes=link_bytes)


def retention(keep_ms, log_ms):
    """Declares how long idempotency keys and the records of the log are retained."""
    return _object("retention", "claims", keep_ms=keep_ms, log_ms=log_ms)


def _object(kind, name, **members):
    return {"kind": kind, "name": name, **members}


def _encode(value):
    return json.dumps(_whole(value), separators=(",", ":"), ensure_ascii=False)


def _whole(value):
    """Converts floats of integral value to integers, since Go prints 40.0 as 40."""
    if isinstance(value, dict):
        return {key: _whole(member) for key, member in value.items()}
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value
