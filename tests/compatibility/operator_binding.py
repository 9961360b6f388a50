"""Settings of operators and the platform: values of files and environment variables, and their errors.

A rename in the product changes this module and not the fixtures, whose keys are neutral.
"""

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
WHERE = "relay.toml"  # the file that error messages name


# -- the operator's file -----------------------------------------------------------------------------------


def operator_values(path: Path) -> Values:
    """Returns the settings of the file under neutral keys."""
    config = read(path, {})
    return {
        "fleet": _fleet(config),
        "log": {"format": config.log.format, "level": config.log.level, "waiting lines": config.log.lines},
        "status": {"folder": config.status.folder, "destinations": config.status.destinations},
        "state": {
            "own folder only": config.state.own,
            "durability": config.state.durability,
            "sync ms": config.state.sync_ms,
            "sync every ms": config.state.sync_every_ms,
        },
        "record": {"file": config.record.file, "megabytes": config.record.mb},
        "supervisor": _supervisor(config),
        "amqp": _amqp(config.amqp),
        "peers": _peers(config.peers),
        "agreement": _agreement(config.accord),
        "failover": _failover(config.failover),
        "shards": _shards(config.shards),
    }


def _fleet(config: OperatorConfig) -> Values:
    return {
        "instances": config.fleet.instances,
        "rates kept together": config.fleet.share_rates,
        "settling s": config.fleet.settle_s,
    }


def _supervisor(config: OperatorConfig) -> Values:
    section = config.supervisor
    return {
        "platform file": section.config,
        "host": section.host,
        "port": section.port,
        "state folder": section.state,
        "starts at once": section.together,
        "between starts s": section.stagger_s,
        "ready within s": section.ready_s,
        "stopped within s": section.stop_s,
        "watchdog s": section.watchdog_s,
        "first wait s": section.first_wait_s,
        "longest wait s": section.most_wait_s,
        "crashes of a loop": section.loop_crashes,
        "seconds of a loop": section.loop_s,
    }


def _amqp(settings: AmqpSettings) -> Values:
    return {
        "brokers": [_broker(entry) for entry in settings.brokers],
        "endpoints": [
            {
                "name": entry.name,
                "destination": entry.destination,
                "broker": entry.broker,
                "routing key": entry.routing_key,
                "exchange": entry.exchange,
                "rate": entry.rate,
                "a nack proves": entry.nack,
            }
            for entry in settings.endpoints
        ],
        "queues": [
            {"broker": entry.broker, "queue": entry.queue, "prefetch": entry.prefetch}
            for entry in settings.queues
        ],
    }


def _broker(broker: BrokerSettings) -> Values:
    tls = broker.tls
    return {
        "name": broker.name,
        "hosts": broker.hosts,
        "virtual host": broker.vhost,
        "credentials file": broker.credentials,
        "heartbeat s": broker.heartbeat_s,
        "external": broker.external,
        "tls": None
        if tls is None
        else {"authority": tls.ca, "certificate": tls.cert, "key": tls.key, "server name": tls.server_name},
    }


def _peers(settings: GossipSettings) -> Values:
    return {
        "listens at": settings.listen,
        "reached at": settings.address,
        "seeds": list(settings.seeds),
        "secret file": settings.secret_file,
        "period s": settings.period_s,
        "place of instance 2": list(settings.listen_address(2)) if settings.is_enabled else None,
        "address of instance 2": list(settings.advertised_address(2)) if settings.is_enabled else None,
    }


def _agreement(settings: ConsensusSettings) -> Values:
    return {
        "voters": list(settings.voters),
        "bound s": settings.bound_s,
        "horizon s": settings.horizon_s,
        "clock drift": settings.drift,
        "standby share": settings.standby,
        "first rules": rules_values(settings.first),
        "floor rules": rules_values(settings.floor),
        "rules folder": settings.folder,
    }


def _failover(settings: FailoverSettings) -> Values:
    return {
        "regions": {name: entry.region for name, entry in settings.zones.items()},
        "worths": {name: entry.worth for name, entry in settings.classes.items()},
        "stays": {name: entry.stay for name, entry in settings.classes.items()},
        "groups": {name: settings.group_name(name) for name in settings.classes},
        "window s": settings.window_s,
        "spare": settings.spare,
        "zone price": settings.zone_price,
        "region price": settings.region_price,
        "solver ms": settings.budget_ms,
    }


def _shards(settings: ShardedDirectorySettings) -> Values:
    return {
        "keepers": list(settings.keepers),
        "count": settings.count,
        "epoch": settings.epoch,
        "file": settings.file,
        "idle s": settings.idle_s,
        "bound s": settings.bound_s,
    }


def operator_keys() -> list[str]:
    """Returns every key of the operator's file as a dotted path."""
    return sorted(_keys(msgspec.inspect.type_info(OperatorConfig), ""))


def platform_keys() -> list[str]:
    """Returns every key that is read from the platform's file and the settings in it, as a dotted path."""
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
            for member in shape.types:
                yield from _keys(member, path)
        case msgspec.inspect.DictType():
            yield from _keys(shape.value_type, path + "NAME.")
        case msgspec.inspect.ListType():
            yield from _keys(shape.item_type, path + "ITEM.")
        case msgspec.inspect.Metadata():
            yield from _keys(shape.type, path)


def operator_error(text: str) -> str:
    """Returns the error of a rejected file; empty if it is valid."""
    try:
        decoded(tomllib.loads(text), WHERE)
    except OperatorError as error:
        return str(error)
    return ""


# -- the platform's configuration --------------------------------------------------------------------------


def platform_values(env: dict[str, str]) -> Values:
    """Returns the settings of the environment and of the file that it names, under neutral keys."""
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
    """Returns what environment variables may set: name, listen address, agent, state folder."""
    config: Config = load(env)
    return [config.name, list(config.listen), list(config.discovery), str(config.state)]


def platform_error(env: dict[str, str]) -> str:
    try:
        load(env)
    except ConfigError as error:
        return str(error)
    return ""


def settings_error(text: str) -> str:
    try:
        settings_from(text)
    except SettingsError as error:
        return str(error)
    return ""


def _settings(settings: Settings) -> Values:
    safety, goal = settings.safety, settings.goal
    return {
        "classes": [
            {
                "name": entry.name,
                "effect": entry.effect.value,
                "aim ms": entry.latency_objective_ms,
                "deadline ms": entry.deadline_ms,
                "worth": entry.priority_weight,
                "late share": entry.late_share,
                "key window ms": entry.key_window_ms,
                "key scope": entry.key_scope.value,
                "in order": entry.in_order,
            }
            for entry in settings.classes
        ],
        "kinds": [[entry.name, entry.batch, entry.has_separate_routes] for entry in settings.kinds],
        "tenants": [[entry.name, entry.quota_per_s] for entry in settings.tenants],
        "calls at once": settings.max_concurrent_attempts,
        "messages held": settings.max_pending_messages,
        "attempts": settings.max_attempts,
        "relays": settings.relays,
        "zone": settings.zone,
        "worth over the share": settings.over_quota_weight,
        "decay": settings.decay.value,
        "rates": settings.rates.value,
        "asks for the list": settings.polls_discovery,
        "probing": settings.probing,
        "cancelling": settings.cancelling,
        "streams of a connection": settings.streams_per_connection,
        "idle ms": settings.idle_ms,
        "connect ms": settings.connect_timeout_ms,
        "tick ms": settings.tick_ms,
        "clients mark repeats": settings.marks_repeats,
        "longest advice ms": settings.max_retry_after_ms,
        "price across zones": settings.cross_zone_price,
        "fees of routes": list(settings.route_fees),
        "fields of reports": list(settings.report_fields),
        "fields of limits": None if settings.limit_report is None else list(settings.limit_report),
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


def fleet_position(env: dict[str, str]) -> list[Any]:
    """Returns the number of this instance and the size of the fleet as configured, or the error."""
    try:
        config = config_from_environment(env)
        if config is None:
            return ["no operator's file"]
        return [instance_number(config, env), config.fleet.instances]
    except OperatorError as error:
        return [str(error)]


def status_folder(configured: str, env: dict[str, str]) -> str:
    folder = socket_folder(configured, env)
    return "" if folder is None else str(folder)


def clock_rate() -> float:
    """Returns the rate of the lease clock, set by an environment variable of the process."""
    return Clock.from_environment().rate


def lifeline_error(env: dict[str, str]) -> str:
    try:
        watch_parent(env)
    except ValueError as error:
        return str(error)
    return ""


def service_manager_error(env: dict[str, str]) -> str:
    """Returns the error for rejected variables of the service manager; empty if they are valid."""
    try:
        inherited_sockets(env)
        SystemdNotifier.from_environment(env)
    except (SocketActivationError, NotifyError) as error:
        return str(error)
    return ""


def notifier_values(env: dict[str, str]) -> list[Any]:
    """Returns the notification address, the watchdog interval and the remaining variables."""
    notifier = SystemdNotifier.from_environment(env)
    return [notifier.address, notifier.watchdog_s, sorted(env)]


def notify_through_lifecycle(address: str) -> None:
    """Notifies the service manager of a start, a reload, a status and a stop."""
    notifier = SystemdNotifier.from_environment({"NOTIFY_SOCKET": address})
    notifier.start()
    notifier.ready()
    notifier.reloading()
    notifier.status("passed over:\n a fault")
    notifier.stopping()
    notifier.close()


def client_socket_name() -> str:
    """Returns the name of the client socket that the service manager passes."""
    return CLIENT_SOCKET
