"""The settings file that the platform writes for a process: read, checked, and turned into plain values.

Fields that are not known, or are null, are skipped, as are listeners that no program here has; a field with a wrong
value is one line naming it. Source: the deployment's page.
"""

import json
import os
from dataclasses import dataclass, field, fields, replace
from typing import Any

import dacite

from knotwalk.runtime.errors import SettingsError
from knotwalk.runtime.units import parse_duration

SETTINGS_VARIABLE = "KNOTWALK_SETTINGS"
Address = tuple[str, int]
FileState = tuple[int, int, int]  # tells one state of the file from another: time of its change, size, inode


@dataclass(frozen=True)
class Machine:
    """What the machine gives this process: shares of a core, megabytes, descriptors, megabits a second."""

    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    memory_mb: float = 256.0
    file_descriptors: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True)
class Tolerance:
    """What the system may lose at once and still keep all rules."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def members(self) -> int:
        """How many core machines make agreement bear that: a majority is left after the loss of the most. Of a zone or
        region one is counted, the least that there can be."""
        return 2 * max(self.machines, self.zones, self.regions) + 1


@dataclass(frozen=True)
class Bounds:
    """The rules' figures: seconds, a ratio and a count. Defaults are the tightest that are known."""

    seed_lag: float = 3.0
    address_reuse: float = 2.0
    contact: float = 3.0
    ack_timeout: float = 5.0
    sync_time: float = 4.0
    drain_timeout: float = 2.5
    grace_period: float = 6.0
    loss_slack: float = 0.2
    config_apply: float = 2.0
    downgrade_slack: float = 0.25
    stretch_max: float = 8.0
    retry_budget_ratio: float = 0.2
    retry_window: float = 10.0
    retry_budget_slack: float = 50.0
    recovery: float = 15.0
    max_hold: float = 10.0
    thaw_slack: float = 0.3
    global_revocation: bool = False  # whether machines out of touch are bound by `revoke_timeout` too
    revoke_timeout: float = 5.0
    key_period: float = 60.0
    quota_window: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


@dataclass(frozen=True)
class Platform:
    """Where the list of nodes is held: its address, calls a second for all conductors, how far it runs behind."""

    address: Address | None = None
    rate_per_s: float = 10.0
    max_lag: float = 1.0


@dataclass(frozen=True)
class Settings:
    """All that a process is told at its start, or at a reload."""

    node_name: str
    role: str = ""
    machine_class: str = ""
    serves: list[str] = field(default_factory=list)
    ip_address: str = "127.0.0.1"
    zone: str = ""
    region: str = ""
    zones: dict[str, str] = field(default_factory=dict)
    listen: dict[str, Address] = field(default_factory=dict)
    ports: tuple[int, int] = (7660, 7675)
    seeds: list[Address] = field(default_factory=list)
    initial_boot: bool = False
    quorum_member: bool = False
    machine: Machine = Machine()
    data_dir: str | None = None
    heartbeat: float = 1.5
    tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    platform: Platform = Platform()
    file_state: FileState | None = None  # of the file that this was read from
    contracts: list[str] = field(default_factory=list)  # names of the parts of the rules that are in force
    metrics_port: int | None = None  # of the program's arguments, not of the file: see `runtime.lifecycle`

    def listen_address(self, name: str) -> Address:
        """Where this role listens for `name`; SettingsError if the file does not say."""
        if name not in self.listen:
            raise SettingsError(f"listen_addresses.{name}", "missing, and this program serves it")
        return self.listen[name]


# Names of the parts of the rules that this text was written for.
KNOWN_CONTRACTS = frozenset(
    ("base", "drain", "config", "cost", "retry", "recover", "health", "pool", "tenants", "keys", "quota", "own")
)


def unknown_contracts(settings: Settings) -> list[str]:
    """Contracts in force that are not known here: the program goes on, and can't promise what they ask."""
    return sorted(set(settings.contracts) - KNOWN_CONTRACTS)


def parse_address(value: object, where: str) -> Address:
    """Host and port of `10.0.0.1:8080`; SettingsError naming `where` otherwise."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise SettingsError(where, f"an address is host:port, not {value!r}")
    return host, int(port)


def _duration(value: object, where: str) -> float:
    try:
        return parse_duration(value)
    except ValueError as error:
        raise SettingsError(where, error) from None


def _section(kind: type, raw: object, where: str, spans: frozenset[str] = frozenset()) -> Any:
    """A part of the file as `kind`, by dacite; times among `spans` are read from their text."""
    if not isinstance(raw, dict):
        raise SettingsError(where, "not an object")
    known = {f.name for f in fields(kind)}
    given = {k: v for k, v in raw.items() if k in known and v is not None}
    data = {k: _duration(v, f"{where}.{k}") if k in spans else v for k, v in given.items()}
    data = {
        k: float(v) if isinstance(v, int) and not isinstance(v, bool) and kind.__annotations__[k] is float else v
        for k, v in data.items()
    }
    try:
        return dacite.from_dict(kind, data)
    except dacite.WrongTypeError as error:
        raise SettingsError(
            f"{where}.{error.field_path}", f"{error.value!r} is no {error.field_type.__name__}"
        ) from None
    except dacite.DaciteError as error:
        raise SettingsError(where, error) from None


NON_DURATION_BOUNDS = frozenset(
    {"retry_budget_ratio", "retry_budget_slack", "quota_overage", "quota_slack", "global_revocation"}
)
DURATION_BOUNDS = frozenset(f.name for f in fields(Bounds)) - NON_DURATION_BOUNDS


# Fields that are taken as they are.
PLAIN_FIELDS = (
    "node_name",
    "role",
    "machine_class",
    "serves",
    "ip_address",
    "zone",
    "region",
    "zones",
    "initial_boot",
    "quorum_member",
    "data_dir",
)
LISTENERS = frozenset({"data_plane", "readiness", "control"})


def _container(raw: dict, name: str, kind: type) -> Any:
    """A field that holds an object or a list, empty where it is left out."""
    value = raw.get(name, kind())
    if not isinstance(value, kind):
        raise SettingsError(name, "not an object" if kind is dict else "not a list")
    return value


def parse_settings(raw: object) -> Settings:
    """The settings of a file's JSON value; SettingsError names the field and the mistake."""
    if not isinstance(raw, dict):
        raise SettingsError("", "the file holds no object")
    raw = {name: value for name, value in raw.items() if value is not None}
    if not isinstance(raw.get("node_name"), str) or not raw["node_name"]:
        raise SettingsError("node_name", "missing or no text")
    plain = {name: raw[name] for name in PLAIN_FIELDS if name in raw}
    listen = _container(raw, "listen_addresses", dict)
    seeds = _container(raw, "seed_nodes", list)
    contracts = _container(raw, "active_contracts", list)
    ports = raw.get("internal_port_range", [7660, 7675])
    if (
        not isinstance(ports, list)
        or len(ports) != 2
        or not all(type(p) is int and 0 < p < 65536 for p in ports)
        or ports[0] > ports[1]
    ):
        raise SettingsError("internal_port_range", f"two ports, the first not above the second, not {ports!r}")
    cloud = _container(raw, "cloud_api", dict)
    if cloud.get("address") is not None:
        cloud = {**cloud, "address": parse_address(cloud["address"], "cloud_api.address")}
    built = {
        **plain,
        "contracts": [name for name in contracts if isinstance(name, str)],
        "listen": {
            name: parse_address(at, f"listen_addresses.{name}")
            for name, at in listen.items()
            if name in LISTENERS and at is not None
        },
        "ports": tuple(ports),
        "seeds": [parse_address(at, f"seed_nodes[{k}]") for k, at in enumerate(seeds) if at is not None],
        "machine": _section(Machine, raw.get("limits", {}), "limits"),
        "tolerance": _section(Tolerance, raw.get("fault_tolerance", {}), "fault_tolerance"),
        "bounds": _section(Bounds, raw.get("timing_bounds", {}), "timing_bounds", DURATION_BOUNDS),
        "platform": _section(Platform, cloud, "cloud_api", frozenset({"max_lag"})),
        "heartbeat": _duration(raw.get("heartbeat", "1500ms"), "heartbeat"),
    }
    try:
        return dacite.from_dict(Settings, built, dacite.Config(check_types=True))
    except dacite.WrongTypeError as error:
        raise SettingsError(error.field_path, f"{error.value!r} is no {error.field_type}") from None


def file_state(path: str | None = None) -> FileState | None:
    """What tells one state of the settings file from another; None while there is none."""
    try:
        found = os.stat(path or os.environ.get(SETTINGS_VARIABLE, ""))
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def load_settings(path: str | None = None) -> Settings:
    """The settings at `path`, or where the platform's variable says; SettingsError in one line if that fails."""
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(SETTINGS_VARIABLE, "not set, and it tells where the settings file is")
    before = file_state(path)
    try:
        with open(path, "rb") as file:
            return replace(parse_settings(json.loads(file.read())), file_state=before)
    except OSError as error:
        raise SettingsError(path, error.strerror) from None
    except ValueError as error:
        raise SettingsError(path, f"no JSON: {error}") from None
