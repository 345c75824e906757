"""The service score by the brief's payoff, from records alone.

Payoff is counted for the seconds in which a wanted guest was served, and for a first start in time, over the
payoff asked for; a guest counts in the ten seconds in which it was first asked for. Not modelled: worth
beyond a customer's share, and the penalties.
"""

from collections import defaultdict

from hazelhold.audit.rules import AuditRules
from hazelhold.protocol.record import RecordedMessage

WINDOW = 10_000_000


def score(crossings: list[RecordedMessage], rules: AuditRules) -> dict[str, float]:
    """Shares from 0 to 1: whole, worst_window, worst_product, worst_customer, and service, their weighted
    sum."""
    wanted: dict[str, RecordedMessage] = {}
    served: dict[str, float] = defaultdict(float)
    starts: dict[str, int] = {}
    cancelled: dict[str, int] = {}
    over = next((c.at for c in crossings if c.way == "day_over"), crossings[-1].at)
    for c in crossings:
        body = c.message or {}
        kind, guest = body.get("t", ""), body.get("guest", "")
        if c.role == "owner" and kind == "submit" and c.way == "out":
            wanted.setdefault(guest, c)
        elif c.role == "owner" and kind == "cancel" and c.way == "out":
            cancelled.setdefault(guest, c.at)
        elif c.role == "machine" and c.way in ("out", "unheard") and kind == "ended":
            served[guest] += body.get("served", 0)
        elif c.role == "machine" and c.way == "fact":
            for name, microseconds in body.get("guests", []):
                served[name] += microseconds
        elif (
            c.role == "machine"
            and c.way in ("out", "unheard")
            and (kind == "started" or kind == "taken" and rules.confirms_running)
        ):
            starts.setdefault(guest, c.at)
    if not wanted:
        return {"service": 0.0, "guests": 0}
    mean_cores = sum(c.message["cores"] for c in wanted.values()) / len(wanted)
    mean_memory = sum(c.message["memory"] for c in wanted.values()) / len(wanted)
    groups: dict[tuple[str, object], list[float]] = defaultdict(lambda: [0.0, 0.0])
    first = min(c.at for c in wanted.values())
    for guest, c in wanted.items():
        ask, product = c.message, rules.products[c.message["product"]]
        size = (ask["cores"] / mean_cores + ask["memory"] / mean_memory) / 2 * product["payoff"]
        seconds = max(0, min(ask.get("life", 0), min(over, cancelled.get(guest, over)) - c.at)) / 1e6
        asked = size * (seconds + product["start_bonus"])
        took = starts.get(guest, 1 << 62) - c.at
        part = 1.0 if took <= product["goal"] else 0.0
        if not part and took <= product["patience"]:
            part = product["late_worth"]
        earned = size * (min(seconds, served[guest] / 1e6) + product["start_bonus"] * part)
        for group in (
            ("whole", 0),
            ("window", (c.at - first) // WINDOW),
            ("product", ask["product"]),
            ("customer", ask.get("customer", "")),
        ):
            groups[group][0] += earned
            groups[group][1] += asked
    shares = {group: earned / asked for group, (earned, asked) in groups.items() if asked}

    def worst(kind: str) -> float:
        return min(share for (name, _), share in shares.items() if name == kind)

    parts = [shares["whole", 0], worst("window"), worst("product"), worst("customer")]
    weights = rules.weights
    service = sum(p * w for p, w in zip(parts, weights, strict=True)) / sum(weights)
    names = ("whole", "worst_window", "worst_product", "worst_customer")
    return {
        "service": round(service, 4),
        "guests": len(wanted),
        **{name: round(part, 4) for name, part in zip(names, parts, strict=True)},
    }
