"""The objects of a configuration. Times are float seconds; versions are numbers (12 for `r12`)."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests it takes (host, prefix of the path) and how they are carried; `splits` are (service, weight)."""

    name: str
    hostname: str
    path_prefix: str
    idempotent: bool
    timeout: float
    target_latency: float
    priority: int
    splits: tuple[tuple[str, float], ...]
    retry_count: int
    keyed: bool = False  # its requests bear an `Operation-Key`: all tries with one key are one operation
    public: bool = False  # its requests need no tenant's key

    @property
    def route_type(self) -> str:
        """What becomes of further tries, by the word that configurations have for it."""
        if self.keyed:
            return "keyed"
        return "idempotent" if self.idempotent else "non_idempotent"


@dataclass(frozen=True, slots=True)
class Service:
    """A service: its nodes answer probes at `health_check` and take `max_connections` from all callers together."""

    name: str
    health_check: str = "/"
    max_connections: int = 100
    sharded: bool = False
    prewarm: float = 0.0
    deduplicates: bool = False  # its nodes keep a record of operations of their own (`idempotent` on the wire)


@dataclass(frozen=True, slots=True)
class Tenant:
    """Whose requests bear one of `api_keys`. `priority` goes before that of a route; None: the route's holds.

    Over all machines it may send `rate_per_s` requests a second and `burst_size` beyond; a rate of 0 is no limit."""

    name: str
    api_keys: tuple[str, ...] = field(default=(), repr=False)  # secret: in no log, figure or account
    priority: int | None = None
    rate_per_s: float = 0.0
    burst_size: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send (bytes) and how long it may take or stay idle (seconds)."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """A whole configuration. `items` keeps each object just as it was sent, by kind and name, for reading back."""

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    limits: Limits
    items: dict[tuple[str, str], dict] = field(repr=False, default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)  # by name; no two share a key
