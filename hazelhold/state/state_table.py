"""The kept images by kind and key; what a log's changes lead to. No I/O."""

from collections.abc import Iterable, Iterator, Mapping

import msgspec
from msgspec import Struct

from hazelhold.state.images import DECODERS, KINDS, Change


class StateTable:
    """Every table is emptied by drops, and by age where images have one."""

    def __init__(self, kinds: Mapping[str, type[Struct]] = KINDS) -> None:
        self.tables: dict[str, dict[str, Change]] = {kind: {} for kind in kinds}
        self.decoders = (
            DECODERS
            if kinds is KINDS
            else {kind: msgspec.msgpack.Decoder(image) for kind, image in kinds.items()}
        )
        self.strange = 0  # changes of kinds that are not known here

    def apply(self, changes: Iterable[Change]) -> None:
        for change in changes:
            table = self.tables.get(change.kind)
            if table is None:
                self.strange += 1
            elif change.image is None:
                table.pop(change.key, None)
            else:
                table[change.key] = change

    def expire(self, now: int) -> None:
        """Forgets what may be forgotten at this moment of the wall clock."""
        for kind, table in self.tables.items():
            if any(c.until and c.until <= now for c in table.values()):
                self.tables[kind] = {k: c for k, c in table.items() if not c.until or c.until > now}

    def changes(self) -> Iterator[Change]:
        """All that is kept, as changes that lead to it from nothing."""
        for table in self.tables.values():
            yield from table.values()

    def images(self, kind: str) -> Iterator[Struct]:
        """The images of a kind, in the order of their keys; ValueError if one cannot be read."""
        for key in sorted(self.tables[kind]):
            try:
                yield self.decoders[kind].decode(self.tables[kind][key].image)
            except (msgspec.MsgspecError, UnicodeDecodeError) as wrong:
                raise ValueError(f"{kind} {key!r}: {wrong}") from None

    def image(self, kind: str, key: str) -> Struct | None:
        change = self.tables[kind].get(key)
        return self.decoders[kind].decode(change.image) if change else None

    def sizes(self) -> dict[str, int]:
        return {kind: len(table) for kind, table in self.tables.items()}
