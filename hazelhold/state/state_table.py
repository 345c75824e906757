"""The stored images by kind and key, as the result of applying a log's changes. No I/O."""

from collections.abc import Iterable, Iterator, Mapping

import msgspec
from msgspec import Struct

from hazelhold.state.images import DECODERS, KINDS, Change


class StateTable:
    """A table of images for each kind. Images are removed by drops, and by expiry where they have a time."""

    def __init__(self, kinds: Mapping[str, type[Struct]] = KINDS) -> None:
        self.tables: dict[str, dict[str, Change]] = {kind: {} for kind in kinds}
        self.decoders = (
            DECODERS
            if kinds is KINDS
            else {kind: msgspec.msgpack.Decoder(image) for kind, image in kinds.items()}
        )
        self.unknown_kinds = 0  # changes of kinds that are not known here

    def apply(self, changes: Iterable[Change]) -> None:
        """Applies changes; counts and ignores those of unknown kinds."""
        for change in changes:
            table = self.tables.get(change.kind)
            if table is None:
                self.unknown_kinds += 1
            elif change.image is None:
                table.pop(change.key, None)
            else:
                table[change.key] = change

    def expire(self, now: int) -> None:
        """Removes the images that have expired at `now`, in Unix microseconds."""
        for kind, table in self.tables.items():
            if any(c.until and c.until <= now for c in table.values()):
                self.tables[kind] = {k: c for k, c in table.items() if not c.until or c.until > now}

    def changes(self) -> Iterator[Change]:
        """Yields all images, as changes that rebuild the tables from nothing."""
        for table in self.tables.values():
            yield from table.values()

    def images(self, kind: str) -> Iterator[Struct]:
        """Yields the images of a kind in the order of their keys; raises ValueError if one cannot be read."""
        for key in sorted(self.tables[kind]):
            try:
                yield self.decoders[kind].decode(self.tables[kind][key].image)
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                raise ValueError(f"{kind} {key!r}: {error}") from None

    def image(self, kind: str, key: str) -> Struct | None:
        """Returns the image of a key, or None."""
        change = self.tables[kind].get(key)
        return self.decoders[kind].decode(change.image) if change else None

    def sizes(self) -> dict[str, int]:
        """Returns the number of images by kind."""
        return {kind: len(table) for kind, table in self.tables.items()}
