"""The state of one channel of a connection; protocol.py has the table of its transitions."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .ack_tracker import AckTracker
from .content import PartialContent
from .publish_confirms import PublishConfirms

MAX_UNCONFIRMED = 1024  # unconfirmed publishes of one channel, including those given up


class ChannelState(Enum):
    """State of a channel."""

    OPENING, SETTING, READY, CLOSING, CLOSED = range(5)


@dataclass(slots=True)
class Channel:
    """A channel, either for publishing with confirms or for consuming."""

    number: int
    prefetch: int  # 0: a channel for publishing, with confirms
    state: ChannelState = ChannelState.OPENING
    confirms: PublishConfirms = field(default_factory=PublishConfirms)
    content: PartialContent | None = None
    is_flow_active: bool = True
    acks: AckTracker = field(default_factory=AckTracker)

    @property
    def may_publish(self) -> bool:
        """Whether the channel accepts a publish: not under flow control or with too many unconfirmed ones."""
        return (
            self.state is ChannelState.READY
            and self.prefetch == 0
            and self.is_flow_active
            and len(self.confirms) < MAX_UNCONFIRMED
        )
