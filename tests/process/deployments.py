"""Configuration documents and fake fleets of the example deployments."""

import hashlib

TOKENS = 16
STAGES = ("encoder", "retriever", "reranker", "engine")
COSTS = {"encoder": 1, "retriever": 1, "reranker": 2, "engine": 5,
         "service": 1}


class Deployment:
    """A deployment: its pools, pipelines, services, accounts and classes."""

    def __init__(self, name, domains, workers, services, silent, pace_us):
        self.name = name
        self.domains = domains
        # Servers of each pool: {pool: (kind, count)}.
        self.pools = {f"{name}-{kind}": (kind, count)
                      for kind, count in zip(STAGES, workers)}
        self.pools.update({f"{name}-{service}": ("service", count)
                           for service, count in services.items()})
        self.silent = f"{name}-{silent}"
        self.services = services
        self.pace_us = pace_us
        self.record = True
        self.pipelines = {}
        self.once_routes = {}

    def pipeline(self, name, deadline_ms, once=False, stages=STAGES):
        self.pipelines[f"{self.name}-{name}"] = {
            "deadline_ms": deadline_ms, "non_idempotent": once,
            "stages": [self._stage(kind, once) for kind in stages]}
        return self

    def once_route(self, service, prefix):
        self.once_routes.setdefault(service, []).append(
            {"method": "POST", "prefix": prefix, "non_idempotent": True})
        return self

    def _stage(self, kind, once):
        stage = {"name": kind, "pool": f"{self.name}-{kind}"}
        if kind == "engine":
            stage.update(model="draft", max_tokens=256, non_idempotent=once)
        if kind in ("retriever", "reranker"):
            stage["top_k"] = 8 if kind == "retriever" else 4
        return stage

    def servers(self):
        """Yields (id, kind, pool, failure domain) of every server."""
        for pool, (kind, count) in self.pools.items():
            for i in range(count):
                yield (f"{pool}-{i + 1}", kind, pool,
                       self.domains[i % len(self.domains)])

    def fakes(self):
        return [{"id": id, "kind": kind, "pool": pool, "tokens": TOKENS,
                 "pace_us": self.pace_us, "record": self.record,
                 "reports_load": pool != self.silent}
                for id, kind, pool, _ in self.servers()]

    def pool_document(self, ports):
        pools = {}
        for id, kind, pool, domain in self.servers():
            entry = pools.setdefault(pool, {
                "kind": kind, "reports_load": pool != self.silent,
                "rejection_means_not_run": True,
                "cost_per_call": COSTS[kind], "servers": {}})
            if kind == "engine":
                entry["cost_per_token"] = 1
                entry["checks_fencing"] = True
            entry["servers"][id] = {"address": "127.0.0.1",
                                    "port": ports[id],
                                    "failure_domain": domain}
        return pools

    def service_document(self):
        return {f"{self.name}-{service}": {
            "pool": f"{self.name}-{service}", "deadline_ms": 8000,
            "routes": self.once_routes.get(service, [])}
            for service in self.services}


def qurak(pace_us=1000):
    return (Deployment("qurak", ["almaty-1", "almaty-2", "almaty-3"],
                       (3, 3, 2, 4),
                       {"shop": 3, "cutting-table": 3, "courier-dispatch": 3,
                        "supplier-intake": 3}, "shop", pace_us)
            .pipeline("bundle-listing", 8000)
            .pipeline("fibre-question", 8000)
            .pipeline("patchwork-pairing", 8000)
            .pipeline("order-confirmation", 8000, once=True)
            .once_route("cutting-table", "/cut"))


def brazos(pace_us=1000):
    return (Deployment("brazos", ["texas-1", "texas-2", "texas-3"],
                       (4, 4, 4, 6),
                       {"switching-desk": 3, "member-portal": 3,
                        "billing-reconciliation": 3, "supplier-enrollment": 3},
                       "switching-desk", pace_us)
            .pipeline("plan-choice", 8000)
            .pipeline("switch-date", 8000)
            .pipeline("transfer-check", 8000)
            .pipeline("enrollment", 8000, once=True)
            .once_route("supplier-enrollment", "/enroll"))


def small(workers=(2, 2, 2, 3), services=2, pace_us=1000):
    """Returns a small deployment for tests of failures."""
    return (Deployment("t", ["d-1", "d-2", "d-3"], workers,
                       {"desk": services}, "desk", pace_us)
            .pipeline("ask", 8000)
            .pipeline("order", 8000, once=True)
            .once_route("desk", "/order"))


CLASSES = {
    "interactive": {"first_token_ms": 1200, "answer_ms": 6000,
                    "attainment": 0.95},
    "batch": {"answer_ms": 8000, "attainment": 0.9, "batch": True},
}
ACCOUNTS = ("sellers", "buyers", "cutting-table", "members", "clerks",
            "nightly")


def key_of(account):
    return account + "-key"


def document(deployments, ports):
    """Returns the complete configuration document of the deployments."""
    result = {"classes": CLASSES, "accounts": {}, "pools": {},
              "pipelines": {}, "services": {}}
    for account in ACCOUNTS:
        digest = hashlib.sha256(key_of(account).encode()).hexdigest()
        result["accounts"][account] = {
            "key_digests": [digest],
            "default_class": "batch" if account == "nightly" else "interactive"}
    for deployment in deployments:
        result["pools"].update(deployment.pool_document(ports))
        result["pipelines"].update(deployment.pipelines)
        result["services"].update(deployment.service_document())
    return result


def fake_fleet(deployments):
    """Returns the content of the fakes' file: all servers and the server of the
    platform's VM list."""
    return {"servers": [{"id": "platform", "kind": "platform"}] +
            [server for deployment in deployments
             for server in deployment.fakes()]}
