"""Pages of items, for operators. No I/O."""

from hazelhold.fleetconfig import messages as m
from hazelhold.fleetconfig.history import History

PAGE_ITEMS = 1000  # items in one answer


def read_items(history: History, query: m.ReadItems) -> m.Items:
    """A page of the document."""
    names = sorted(n for n in history.document.items if n.startswith(query.prefix) and n > query.after)
    found, size = [], 0
    for name in names[:PAGE_ITEMS]:
        value = history.document.items[name]
        size += len(name) + len(value)
        if found and size > m.PAGE_BYTES:
            break
        found.append(m.Put(name, value))
    return m.Items(number=history.position.number, items=tuple(found), more=len(found) < len(names))
