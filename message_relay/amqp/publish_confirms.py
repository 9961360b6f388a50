"""The publishes of one channel that the broker has not confirmed yet. It does no I/O.

- A basic.return proves that a message was not routed and settles it at once. The ack that follows only
  removes the tag.
- A confirm for a tag that was confirmed before is ignored. One for a tag that was never used, or
  for tag 0 without the multiple flag, is a protocol error: no later confirm could be trusted.
- A nack may cover several tags, too. Confirms may arrive in any order.
"""

from __future__ import annotations

from collections import OrderedDict

from .events import Publish, PublishStatus
from .frames import FrameError


class PublishConfirms:
    """The unconfirmed publishes of a channel by delivery tag, including those that were given up."""

    def __init__(self) -> None:
        self.last_tag = 0  # of the latest publish
        self.by_tag: OrderedDict[int, Publish] = OrderedDict()

    def __len__(self) -> int:
        return len(self.by_tag)

    @property
    def given_up(self) -> int:
        """How many publishes were given up and may still be confirmed."""
        return sum(publish.given_up for publish in self.by_tag.values())

    def add(self, channel: int, message_id: str, end_offset: int) -> Publish:
        """Adds a publish whose last byte is the `end_offset`-th of the connection."""
        self.last_tag += 1
        publish = self.by_tag[self.last_tag] = Publish(channel, self.last_tag, message_id, end_offset)
        return publish

    def on_confirm(self, tag: int, multiple: bool, status: PublishStatus) -> list[Publish] | None:
        """Returns the publishes that an ack or nack settles; None if its tag was confirmed before.

        Raises FrameError for a tag that was never used.
        """
        if tag > self.last_tag or tag == 0 and not multiple:
            raise FrameError(530, f"a confirm for tag {tag}, and {self.last_tag} is the latest")
        if not multiple and tag not in self.by_tag:
            return None
        return _settled(self._pop(tag, multiple), status)

    def on_return(self, message_id: str | None, reason: str) -> list[Publish] | None:
        """Returns the oldest open publish of a returned message, settled; None if there is none.

        Its tag stays until its confirm.
        """
        for publish in self.by_tag.values():
            if publish.message_id == message_id and publish.status is PublishStatus.OUT:
                publish.reason = reason
                return _settled([publish], PublishStatus.RETURNED)
        return None

    def on_closed(self, written: int, reason: str) -> list[Publish]:
        """Returns all publishes, settled by whether their last byte was among the `written` ones."""
        settled = []
        for publish in self.by_tag.values():
            publish.reason = publish.reason or reason
            was_written = publish.end_offset <= written
            settled += _settled([publish], PublishStatus.LOST if was_written else PublishStatus.UNWRITTEN)
        self.by_tag.clear()
        return settled

    def _pop(self, tag: int, multiple: bool) -> list[Publish]:
        """Removes the publish of a tag, or with `multiple` all up to it; tag 0 then means all."""
        if not multiple:
            return [self.by_tag.pop(tag)]
        highest_tag = tag or self.last_tag
        popped = []
        while self.by_tag and next(iter(self.by_tag)) <= highest_tag:
            popped.append(self.by_tag.popitem(last=False)[1])
        return popped


def _settled(publishes: list[Publish], status: PublishStatus) -> list[Publish]:
    """Sets the status of those that have none yet, and returns them; the others were returned before."""
    settled = [publish for publish in publishes if publish.status is PublishStatus.OUT]
    for publish in settled:
        publish.status = status
    return settled
