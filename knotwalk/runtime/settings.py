"""The settings file that the platform writes for a process: reading, validation and the resulting plain values.

Unknown fields, null fields and listeners that no program here has are ignored. A field with an invalid value raises one
line that names it. Source: the deployment's page.
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
FileState = tuple[int, int, int]  # identifies a version of the file: modification time in ns, size, inode


@dataclass(frozen=True)
class Machine:
    """Resources of this process: share of a CPU, CPUs, megabytes, file descriptors, megabits a second."""

    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    memory_mb: float = 256.0
    file_descriptors: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True)
class Tolerance:
    """How many failures at once the system must survive while all guarantees hold."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def members(self) -> int:
        """The number of core machines needed, so that a majority is left after the largest tolerated loss.

        A zone or region counts as one machine, the least that it can hold."""
        return 2 * max(self.machines, self.zones, self.regions) + 1


@dataclass(frozen=True)
class Bounds:
    """The parameters of the system's guarantees: seconds, ratios and counts. Defaults are the tightest known values."""

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
    global_revocation: bool = False  # whether `revoke_timeout` binds disconnected machines too
    revoke_timeout: float = 5.0
    key_period: float = 60.0
    quota_window: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


@dataclass(frozen=True)
class Platform:
    """The platform's node list: its address, calls a second for all core machines together, and its maximum lag (s)."""

    address: Address | None = None
    rate_per_s: float = 10.0
    max_lag: float = 1.0


@dataclass(frozen=True)
class Settings:
    """All settings of a process, from its start or its last reload."""

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
    file_state: FileState | None = None  # state of the file that the settings were read from
    contracts: list[str] = field(default_factory=list)  # names of the contracts in force
    metrics_port: int | None = None  # from the program's arguments, not the file: see `runtime.lifecycle`

    def listen_address(self, name: str) -> Address:
        """The address on which this role listens for `name`; SettingsError if the file names none."""
        if name not in self.listen:
            raise SettingsError(f"listen_addresses.{name}", "is missing, but this program serves it")
        return self.listen[name]


# Names of the contracts that this version implements.
KNOWN_CONTRACTS = frozenset(
    ("base", "drain", "config", "cost", "retry", "recover", "health", "pool", "tenants", "keys", "quota", "own")
)


def unknown_contracts(settings: Settings) -> list[str]:
    """Names of contracts in force that this version does not know: the program runs, but does not guarantee them."""
    return sorted(set(settings.contracts) - KNOWN_CONTRACTS)


def parse_address(value: object, location: str) -> Address:
    """Parse an address such as `10.0.0.1:8080` into host and port; SettingsError naming `location` if it is invalid."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise SettingsError(location, f"must be an address host:port, not {value!r}")
    return host, int(port)


def _duration(value: object, location: str) -> float:
    try:
        return parse_duration(value)
    except ValueError as error:
        raise SettingsError(location, error) from None


def _section(section_type: type, raw: object, location: str, durations: frozenset[str] = frozenset()) -> Any:
    """Read a section of the file as `section_type`, by dacite; fields in `durations` are parsed from their text."""
    if not isinstance(raw, dict):
        raise SettingsError(location, "must be an object")
    known = {f.name for f in fields(section_type)}
    present = {k: v for k, v in raw.items() if k in known and v is not None}
    data = {k: _duration(v, f"{location}.{k}") if k in durations else v for k, v in present.items()}
    data = {
        k: float(v)
        if isinstance(v, int) and not isinstance(v, bool) and section_type.__annotations__[k] is float
        else v
        for k, v in data.items()
    }
    try:
        return dacite.from_dict(section_type, data)
    except dacite.WrongTypeError as error:
        raise SettingsError(
            f"{location}.{error.field_path}", f"must be {error.field_type.__name__}, not {error.value!r}"
        ) from None
    except dacite.DaciteError as error:
        raise SettingsError(location, error) from None


NON_DURATION_BOUNDS = frozenset(
    {"retry_budget_ratio", "retry_budget_slack", "quota_overage", "quota_slack", "global_revocation"}
)
DURATION_BOUNDS = frozenset(f.name for f in fields(Bounds)) - NON_DURATION_BOUNDS


# Fields that are copied unchanged.
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


def _container(raw: dict, name: str, container_type: type) -> Any:
    """Get a field that must be an object or a list; empty if it is missing."""
    value = raw.get(name, container_type())
    if not isinstance(value, container_type):
        raise SettingsError(name, "must be an object" if container_type is dict else "must be a list")
    return value


def parse_settings(raw: object) -> Settings:
    """Convert a file's JSON value into settings; SettingsError names the field and the mistake."""
    if not isinstance(raw, dict):
        raise SettingsError("", "the file must hold a JSON object")
    raw = {name: value for name, value in raw.items() if value is not None}
    if not isinstance(raw.get("node_name"), str) or not raw["node_name"]:
        raise SettingsError("node_name", "must be a non-empty string")
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
        raise SettingsError("internal_port_range", f"must be two ports, the first not above the second, not {ports!r}")
    cloud = _container(raw, "cloud_api", dict)
    if cloud.get("address") is not None:
        cloud = {**cloud, "address": parse_address(cloud["address"], "cloud_api.address")}
    values = {
        **plain,
        "contracts": [name for name in contracts if isinstance(name, str)],
        "listen": {
            name: parse_address(value, f"listen_addresses.{name}")
            for name, value in listen.items()
            if name in LISTENERS and value is not None
        },
        "ports": tuple(ports),
        "seeds": [
            parse_address(value, f"seed_nodes[{index}]") for index, value in enumerate(seeds) if value is not None
        ],
        "machine": _section(Machine, raw.get("limits", {}), "limits"),
        "tolerance": _section(Tolerance, raw.get("fault_tolerance", {}), "fault_tolerance"),
        "bounds": _section(Bounds, raw.get("timing_bounds", {}), "timing_bounds", DURATION_BOUNDS),
        "platform": _section(Platform, cloud, "cloud_api", frozenset({"max_lag"})),
        "heartbeat": _duration(raw.get("heartbeat", "1500ms"), "heartbeat"),
    }
    try:
        return dacite.from_dict(Settings, values, dacite.Config(check_types=True))
    except dacite.WrongTypeError as error:
        raise SettingsError(error.field_path, f"must be {error.field_type}, not {error.value!r}") from None


def file_state(path: str | None = None) -> FileState | None:
    """Identify the current version of the settings file; None if there is no file."""
    try:
        status = os.stat(path or os.environ.get(SETTINGS_VARIABLE, ""))
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def load_settings(path: str | None = None) -> Settings:
    """Read the settings at `path` or at the path in the environment; SettingsError in one line if that fails."""
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(SETTINGS_VARIABLE, "is not set, but must name the settings file")
    before = file_state(path)
    try:
        with open(path, "rb") as file:
            return replace(parse_settings(json.loads(file.read())), file_state=before)
    except OSError as error:
        raise SettingsError(path, error.strerror) from None
    except ValueError as error:
        raise SettingsError(path, f"invalid JSON: {error}") from None
