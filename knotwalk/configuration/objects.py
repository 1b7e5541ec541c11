"""The objects of a configuration. Times are float seconds; versions are numbers (12 for `r12`)."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """A route: which requests it matches (host, path prefix) and how they are forwarded.

    `splits` are pairs of service and weight. `timeout` and `target_latency` are in seconds."""

    name: str
    hostname: str
    path_prefix: str
    idempotent: bool
    timeout: float
    target_latency: float
    priority: int
    splits: tuple[tuple[str, float], ...]
    retry_count: int
    keyed: bool = False  # requests carry an `Operation-Key`: all attempts with one key are one operation
    public: bool = False  # requests need no tenant's key

    @property
    def route_type(self) -> str:
        """How retries are handled, as the value of `route_type` in configurations."""
        if self.keyed:
            return "keyed"
        return "idempotent" if self.idempotent else "non_idempotent"


@dataclass(frozen=True, slots=True)
class Service:
    """A service: its nodes answer health checks at `health_check` and accept `max_connections` from all callers."""

    name: str
    health_check: str = "/"
    max_connections: int = 100
    sharded: bool = False
    prewarm: float = 0.0
    deduplicates: bool = False  # its nodes detect repeated operations themselves (`idempotent` on the wire)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, identified by any of `api_keys`.

    `priority` overrides that of a route; with None the route's applies. Over all machines together the tenant may send
    `rate_per_s` requests a second and a burst of `burst_size`; a rate of 0 means no limit."""

    name: str
    # Secret: must not appear in logs, metrics or status reports.
    api_keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst_size: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """How much a client may send (bytes) and how long it may take or stay idle (seconds)."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """A complete configuration. `items` keeps each object as it was sent, by kind and name, to return it unchanged."""

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    limits: Limits
    items: dict[tuple[str, str], dict] = field(repr=False, default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)  # by name; no two share a key
