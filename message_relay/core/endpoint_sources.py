"""Runs the endpoint sources, merges their updates, and tracks which of them have reported."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..config import Config
from .ports import EndpointSource, EndpointUpdate, EndpointUpdateCallback, UpdateMerge
from .tasks import BackgroundTasks


class EndpointSources:
    """Runs the endpoint sources and passes each of their updates to one callback."""

    def __init__(self, tasks: BackgroundTasks, on_update: EndpointUpdateCallback) -> None:
        self.background_tasks = tasks
        self.on_update = on_update
        self.sources: Sequence[EndpointSource] = ()
        self.update_merge: UpdateMerge | None = None
        self.running: list[asyncio.Task[None]] = []
        self.reported: set[str] = set()  # names of the sources that have sent an update to this process

    def use(self, sources: Sequence[EndpointSource], update_merge: UpdateMerge | None = None) -> None:
        """Replaces the sources; called before `start`. A single source needs no merge."""
        self.sources = sources
        self.update_merge = update_merge

    def start(self) -> None:
        """Starts a task for each source."""
        self.running = [self.background_tasks.start(source.run(self.on_update)) for source in self.sources]

    def reload(self, config: Config) -> None:
        """Restarts the sources with a replaced configuration."""
        for task in self.running:  # a poll must not keep waiting for the former agent
            task.cancel()
        for source in self.sources:
            source.reload(config)

    def merged(self, update: EndpointUpdate) -> EndpointUpdate | None:
        """Returns the change to the merged list that a source's update makes; None if there is none."""
        if self.update_merge is None:
            return update
        return self.update_merge.merge(update, asyncio.get_running_loop().time())

    def mark_reported(self, source: str) -> bool:
        """Records that a source has sent an update; returns True once all running sources have."""
        if not self.running:
            return False
        self.reported.add(source)
        return len(self.reported) >= len(self.sources)

    def close(self) -> None:
        """Closes the connections of all sources."""
        for source in self.sources:
            source.close()
