"""The product's names for what operators and the platform set: files, variables, and what is refused."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from message_relay.amqp.settings import AmqpSettings, BrokerSettings
from message_relay.config import Config, ConfigError, _File, _Zones, load
from message_relay.consensus.clock import Clock
from message_relay.consensus.settings import ConsensusSettings
from message_relay.decisions.model import Settings
from message_relay.decisions.settings import SettingsError, _Settings, settings_from
from message_relay.failover.settings import FailoverSettings
from message_relay.fleet.operator import (
    OperatorConfig,
    OperatorError,
    decoded,
    instance_number,
    config_from_environment,
    read,
)
from message_relay.fleet.parent_watch import watch_parent
from message_relay.fleet.socket_activation import CLIENT_SOCKET, SocketActivationError, inherited_sockets
from message_relay.fleet.status import socket_folder
from message_relay.fleet.systemd_notify import NotifyError, SystemdNotifier
from message_relay.gossip.settings import GossipSettings
from message_relay.sharded_directory.settings import ShardedDirectorySettings

from .agreement_binding import rules_values

Values = dict[str, Any]
WHERE = "relay.toml"  # what errors name


# -- the operator's file -----------------------------------------------------------------------------------


def operator_values(path: Path) -> Values:
    """What the file sets, by neutral keys."""
    told = read(path, {})
    return {
        "fleet": _fleet(told),
        "log": {"format": told.log.format, "level": told.log.level, "waiting lines": told.log.lines},
        "status": {"folder": told.status.folder, "destinations": told.status.destinations},
        "state": {
            "own folder only": told.state.own,
            "durability": told.state.durability,
            "sync ms": told.state.sync_ms,
            "sync every ms": told.state.sync_every_ms,
        },
        "record": {"file": told.record.file, "megabytes": told.record.mb},
        "supervisor": _supervisor(told),
        "amqp": _amqp(told.amqp),
        "peers": _peers(told.peers),
        "agreement": _agreement(told.accord),
        "failover": _failover(told.failover),
        "shards": _shards(told.shards),
    }


def _fleet(told: OperatorConfig) -> Values:
    return {
        "instances": told.fleet.instances,
        "rates kept together": told.fleet.share_rates,
        "settling s": told.fleet.settle_s,
    }


def _supervisor(told: OperatorConfig) -> Values:
    part = told.supervisor
    return {
        "platform file": part.config,
        "host": part.host,
        "port": part.port,
        "state folder": part.state,
        "starts at once": part.together,
        "between starts s": part.stagger_s,
        "ready within s": part.ready_s,
        "stopped within s": part.stop_s,
        "watchdog s": part.watchdog_s,
        "first wait s": part.first_wait_s,
        "longest wait s": part.most_wait_s,
        "crashes of a loop": part.loop_crashes,
        "seconds of a loop": part.loop_s,
    }


def _amqp(part: AmqpSettings) -> Values:
    return {
        "brokers": [_broker(each) for each in part.brokers],
        "endpoints": [
            {
                "name": each.name,
                "destination": each.destination,
                "broker": each.broker,
                "routing key": each.routing_key,
                "exchange": each.exchange,
                "rate": each.rate,
                "a nack proves": each.nack,
            }
            for each in part.endpoints
        ],
        "queues": [
            {"broker": each.broker, "queue": each.queue, "prefetch": each.prefetch} for each in part.queues
        ],
    }


def _broker(part: BrokerSettings) -> Values:
    tls = part.tls
    return {
        "name": part.name,
        "hosts": part.hosts,
        "virtual host": part.vhost,
        "credentials file": part.credentials,
        "heartbeat s": part.heartbeat_s,
        "external": part.external,
        "tls": None
        if tls is None
        else {"authority": tls.ca, "certificate": tls.cert, "key": tls.key, "server name": tls.server_name},
    }


def _peers(part: GossipSettings) -> Values:
    return {
        "listens at": part.listen,
        "reached at": part.address,
        "seeds": list(part.seeds),
        "secret file": part.secret_file,
        "period s": part.period_s,
        "place of instance 2": list(part.listen_address(2)) if part.is_enabled else None,
        "address of instance 2": list(part.advertised_address(2)) if part.is_enabled else None,
    }


def _agreement(part: ConsensusSettings) -> Values:
    return {
        "voters": list(part.voters),
        "bound s": part.bound_s,
        "horizon s": part.horizon_s,
        "clock drift": part.drift,
        "standby share": part.standby,
        "first rules": rules_values(part.first),
        "floor rules": rules_values(part.floor),
        "rules folder": part.folder,
    }


def _failover(part: FailoverSettings) -> Values:
    return {
        "regions": {name: each.region for name, each in part.zones.items()},
        "worths": {name: each.worth for name, each in part.classes.items()},
        "stays": {name: each.stay for name, each in part.classes.items()},
        "groups": {name: part.group_name(name) for name in part.classes},
        "window s": part.window_s,
        "spare": part.spare,
        "zone price": part.zone_price,
        "region price": part.region_price,
        "solver ms": part.budget_ms,
    }


def _shards(part: ShardedDirectorySettings) -> Values:
    return {
        "keepers": list(part.keepers),
        "count": part.count,
        "epoch": part.epoch,
        "file": part.file,
        "idle s": part.idle_s,
        "bound s": part.bound_s,
    }


def operator_keys() -> list[str]:
    """Every key of the file, as a dotted path."""
    return sorted(_keys(msgspec.inspect.type_info(OperatorConfig), ""))


def platform_keys() -> list[str]:
    """Every key that is read of the platform's file and the settings in it."""
    file, text = msgspec.inspect.type_info(_File), msgspec.inspect.type_info(_Settings)
    return sorted(
        [*_keys(file, ""), *_keys(text, "settings."), *_keys(msgspec.inspect.type_info(_Zones), "settings.")]
    )


def _keys(shape: msgspec.inspect.Type, path: str) -> Iterator[str]:
    match shape:
        case msgspec.inspect.StructType():
            for field in shape.fields:
                yield path + field.encode_name
                yield from _keys(field.type, f"{path}{field.encode_name}.")
        case msgspec.inspect.UnionType():
            for each in shape.types:
                yield from _keys(each, path)
        case msgspec.inspect.DictType():
            yield from _keys(shape.value_type, path + "NAME.")
        case msgspec.inspect.ListType():
            yield from _keys(shape.item_type, path + "ITEM.")
        case msgspec.inspect.Metadata():
            yield from _keys(shape.type, path)


def operator_fault(text: str) -> str:
    """Why a file is refused; empty: it is not."""
    try:
        decoded(tomllib.loads(text), WHERE)
    except OperatorError as error:
        return str(error)
    return ""


# -- the platform's configuration --------------------------------------------------------------------------


def platform_values(env: dict[str, str]) -> Values:
    """What the environment and the file that it names set, by neutral keys."""
    config = load(env)
    return {
        "name": config.name,
        "listens at": list(config.listen),
        "agent": list(config.discovery),
        "state folder": str(config.state),
        "seed": config.seed,
        "sockets": config.sockets,
        "disk bytes": config.disk_bytes,
        "known list": config.known_endpoints,
        "zones": list(config.zones),
        "settings": _settings(config.settings),
    }


def platform_names(env: dict[str, str]) -> list[Any]:
    """What variables may set: name, address to listen at, agent, state folder."""
    config: Config = load(env)
    return [config.name, list(config.listen), list(config.discovery), str(config.state)]


def platform_fault(env: dict[str, str]) -> str:
    try:
        load(env)
    except ConfigError as error:
        return str(error)
    return ""


def settings_fault(text: str) -> str:
    try:
        settings_from(text)
    except SettingsError as error:
        return str(error)
    return ""


def _settings(told: Settings) -> Values:
    safety, goal = told.safety, told.goal
    return {
        "classes": [
            {
                "name": each.name,
                "effect": each.effect.value,
                "aim ms": each.latency_objective_ms,
                "deadline ms": each.deadline_ms,
                "worth": each.priority_weight,
                "late share": each.late_share,
                "key window ms": each.key_window_ms,
                "key scope": each.key_scope.value,
                "in order": each.in_order,
            }
            for each in told.classes
        ],
        "kinds": [[each.name, each.batch, each.has_separate_routes] for each in told.kinds],
        "tenants": [[each.name, each.quota_per_s] for each in told.tenants],
        "calls at once": told.max_concurrent_attempts,
        "messages held": told.max_pending_messages,
        "attempts": told.max_attempts,
        "relays": told.relays,
        "zone": told.zone,
        "worth over the share": told.over_quota_weight,
        "decay": told.decay.value,
        "rates": told.rates.value,
        "asks for the list": told.polls_discovery,
        "probing": told.probing,
        "cancelling": told.cancelling,
        "streams of a connection": told.streams_per_connection,
        "idle ms": told.idle_ms,
        "connect ms": told.connect_timeout_ms,
        "tick ms": told.tick_ms,
        "clients mark repeats": told.marks_repeats,
        "longest advice ms": told.max_retry_after_ms,
        "price across zones": told.cross_zone_price,
        "fees of routes": list(told.route_fees),
        "fields of reports": list(told.report_fields),
        "fields of limits": None if told.limit_report is None else list(told.limit_report),
        "safety": [
            safety.answer_slack_ms,
            safety.drain_grace_ms,
            safety.warm_up_initial_share,
            safety.warm_up_ms,
            safety.overload_multiple,
            safety.overload_window_ms,
            safety.poll_within_ms,
            safety.key_pause_ms,
        ],
        "goal": [goal.total, goal.worst_window, goal.worst_class, goal.worst_tenant],
    }


# -- other variables ---------------------------------------------------------------------------------------


def fleet_place(env: dict[str, str]) -> list[Any]:
    """The number of this instance and of all, as the environment and the file that it names say; why not."""
    try:
        told = config_from_environment(env)
        if told is None:
            return ["no operator's file"]
        return [instance_number(told, env), told.fleet.instances]
    except OperatorError as error:
        return [str(error)]


def status_folder(configured: str, env: dict[str, str]) -> str:
    found = socket_folder(configured, env)
    return "" if found is None else str(found)


def clock_rate() -> float:
    """Of the clock of leases, by the process's environment."""
    return Clock.from_environment().rate


def lifeline_fault(env: dict[str, str]) -> str:
    try:
        watch_parent(env)
    except ValueError as error:
        return str(error)
    return ""


def service_manager_fault(env: dict[str, str]) -> str:
    """Why what the service manager tells is refused."""
    try:
        inherited_sockets(env)
        SystemdNotifier.from_environment(env)
    except (SocketActivationError, NotifyError) as error:
        return str(error)
    return ""


def notifier_values(env: dict[str, str]) -> list[Any]:
    """Where the service manager listens, and how often it wants to hear; what is left of the variables."""
    notifier = SystemdNotifier.from_environment(env)
    return [notifier.address, notifier.watchdog_s, sorted(env)]


def notify_through_a_life(address: str) -> None:
    """Tells the service manager of a start, a reload, a status and a stop."""
    notifier = SystemdNotifier.from_environment({"NOTIFY_SOCKET": address})
    notifier.start()
    notifier.ready()
    notifier.reloading()
    notifier.status("passed over:\n a fault")
    notifier.stopping()
    notifier.close()


def clients_socket_name() -> str:
    """Of the socket that the service manager hands over."""
    return CLIENT_SOCKET
