"""Checks the layers of the program: which modules may import which, and that imports form no cycle."""

from __future__ import annotations

import ast
from collections.abc import Iterable, Mapping
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("message_relay", "emulator", "fakes", "benchmarks")
IO_MODULES = {"asyncio", "socket", "os", "time"}
# Packages and modules of message_relay that core may import: store and config lie below it, beside decisions.
BELOW_CORE = {"core", "decisions", "store", "config", "structured_logging"}

# Groups of modules that still import each other, each with its reason. Only shorten this list.
KNOWN_CYCLES: dict[frozenset[str], str] = {
    frozenset({"message_relay.decisions.destinations", "message_relay.decisions.pending"}): (
        "annotations alone: a destination has a queue of messages, and each message names its destination"
    ),
}

# Modules that still import from a layer above theirs, each with its reason. Only shorten this list.
KNOWN_UPWARD_IMPORTS: dict[tuple[str, str], str] = {
    ("emulator.live", "fakes"): "the live experiment plays the platform's agent beside real relay processes",
}

Graph = Mapping[str, set[str]]


def module_name(path: Path, root: Path) -> str:
    parts = list(path.relative_to(root).with_suffix("").parts)
    if parts[-1] == "__init__":
        parts.pop()
    return ".".join(parts)


def imported_names(source: str, module: str, is_package: bool) -> set[str]:
    """All names that a module imports anywhere in it, in functions and under TYPE_CHECKING too.

    For `from a import b` both `a` and `a.b`: `b` may be a module.
    """
    names: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = node.module or ""
            if node.level:
                package = module.split(".")
                parents = package[: len(package) - node.level + is_package]
                base = ".".join([*parents, base] if base else parents)
            names.add(base)
            names.update(f"{base}.{alias.name}" for alias in node.names)
    return names


def import_graph(root: Path, packages: Iterable[str]) -> dict[str, set[str]]:
    """Maps each module to all names that it imports."""
    graph: dict[str, set[str]] = {}
    for package in packages:
        for path in sorted((root / package).rglob("*.py")):
            module = module_name(path, root)
            graph[module] = imported_names(path.read_text(), module, path.name == "__init__.py")
    return graph


def between_modules(graph: Graph) -> dict[str, set[str]]:
    """Keeps only imports of modules in the graph, and drops a package if one of its modules is imported."""
    edges: dict[str, set[str]] = {}
    for module, names in graph.items():
        imported = {name for name in names if name in graph and name != module}
        # `from .package import module` needs the package only where it takes a name from it.
        edges[module] = {
            name for name in imported if not any(other.startswith(f"{name}.") for other in imported)
        }
    return edges


def cycles(graph: Graph) -> set[frozenset[str]]:
    """Finds groups of modules that import each other, directly or through others."""
    reachable = {module: _reachable(graph, module) for module in graph}
    return {
        frozenset(other for other in reachable[module] if module in reachable[other])
        for module in graph
        if module in reachable[module]
    }


def _reachable(graph: Graph, start: str) -> set[str]:
    reached: set[str] = set()
    queue = list(graph[start])
    while queue:
        module = queue.pop()
        if module not in reached:
            reached.add(module)
            queue += graph[module]
    return reached


def importers_of(graph: Graph, importing: str, forbidden: Iterable[str]) -> set[tuple[str, str]]:
    """Returns modules in the package `importing`, each with a name it imports from a forbidden package."""
    return {
        (module, name)
        for module, names in graph.items()
        if is_within(module, importing)
        for name in names
        if any(is_within(name, package) for package in forbidden)
    }


def is_within(name: str, package: str) -> bool:
    return name == package or name.startswith(f"{package}.")


def subsystems(graph: Graph) -> set[str]:
    """Packages and modules of message_relay above core."""
    inside = {
        module.split(".")[1] for module in graph if is_within(module, "message_relay") and "." in module
    }
    return {f"message_relay.{name}" for name in inside - BELOW_CORE}


@pytest.fixture(scope="module")
def graph() -> dict[str, set[str]]:
    return import_graph(ROOT, PACKAGES)


def test_no_modules_of_message_relay_import_each_other(graph: dict[str, set[str]]) -> None:
    inside = {module: names for module, names in graph.items() if is_within(module, "message_relay")}
    assert not cycles(between_modules(inside)) - KNOWN_CYCLES.keys()


def test_decisions_import_no_io(graph: dict[str, set[str]]) -> None:
    assert not importers_of(graph, "message_relay.decisions", IO_MODULES)


def test_decisions_import_only_decisions(graph: dict[str, set[str]]) -> None:
    outside = subsystems(graph) | {f"message_relay.{name}" for name in BELOW_CORE - {"decisions"}}
    assert not importers_of(graph, "message_relay.decisions", outside)


def test_core_imports_no_subsystem(graph: dict[str, set[str]]) -> None:
    assert not importers_of(graph, "message_relay.core", subsystems(graph))


@pytest.mark.parametrize(
    ("importing", "forbidden"),
    [
        ("message_relay", "emulator"),
        ("message_relay", "fakes"),
        ("message_relay", "benchmarks"),
        ("message_relay", "tests"),
        ("emulator", "fakes"),
    ],
)
def test_a_layer_does_not_import_layers_above_it(
    graph: dict[str, set[str]], importing: str, forbidden: str
) -> None:
    upward_imports = {(module, forbidden) for module, _ in importers_of(graph, importing, [forbidden])}
    assert not upward_imports - KNOWN_UPWARD_IMPORTS.keys()


def test_the_import_graph_has_modules_and_their_imports(graph: dict[str, set[str]]) -> None:
    assert graph.keys() >= {"message_relay", "message_relay.core.relay", "emulator", "fakes", "benchmarks"}
    assert "message_relay.core.attempt_runner" in graph["message_relay.core.relay"]


# -- the checks themselves, on a small program ---------------------------------------------------------------


@pytest.fixture
def small_program(tmp_path: Path) -> Path:
    """Two cycles, one through an import in a function, and imports that no layer allows."""
    files = {
        "message_relay/__init__.py": "",
        "message_relay/a.py": "from . import b\n",
        "message_relay/b.py": "def later():\n    from .a import name\n",
        "message_relay/c.py": "from .sub.d import name\nfrom .sub import e\n",
        "message_relay/sub/__init__.py": "from . import d\n",
        "message_relay/sub/d.py": "from ..c import other\n",
        "message_relay/sub/e.py": "import json\n",
        "message_relay/decisions/__init__.py": "import os.path\n",
        "message_relay/decisions/clock.py": "def now():\n    from time import time\n",
        "message_relay/core/relay.py": "from ..http import client\nfrom ..store import journal\n",
        "message_relay/http/client.py": "from fakes.endpoint import Endpoint\n",
    }
    for name, text in files.items():
        path = tmp_path / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    return tmp_path


def test_cycles_are_found_also_through_functions(small_program: Path) -> None:
    groups = cycles(between_modules(import_graph(small_program, ["message_relay"])))
    assert groups == {
        frozenset({"message_relay.a", "message_relay.b"}),
        frozenset({"message_relay.c", "message_relay.sub.d"}),
    }


def test_forbidden_imports_are_found(small_program: Path) -> None:
    imports = import_graph(small_program, ["message_relay"])
    assert {module for module, _ in importers_of(imports, "message_relay.decisions", IO_MODULES)} == {
        "message_relay.decisions",
        "message_relay.decisions.clock",
    }
    assert {name for _, name in importers_of(imports, "message_relay.core", subsystems(imports))} == {
        "message_relay.http",
        "message_relay.http.client",
    }
    assert {module for module, _ in importers_of(imports, "message_relay", ["fakes"])} == {
        "message_relay.http.client"
    }
    assert not importers_of(imports, "message_relay", ["emulator", "benchmarks", "fake"])
