"""Computes the service score from records alone.

The score is the value earned over the value requested: value is earned for the seconds in which a requested
guest was served, and for a first start in time. A guest counts in the ten-second window of its first
submission. Neither value beyond a customer's share nor penalties are modelled.
"""

from collections import defaultdict

from hazelhold.audit.rules import AuditRules
from hazelhold.protocol.record import RecordedMessage

WINDOW_US = 10_000_000


def score(crossings: list[RecordedMessage], rules: AuditRules) -> dict[str, float]:
    """Shares from 0 to 1: whole, worst_window, worst_product, worst_customer; service is their mean."""
    submissions: dict[str, RecordedMessage] = {}
    served: dict[str, float] = defaultdict(float)
    starts: dict[str, int] = {}
    cancelled: dict[str, int] = {}
    end_at = next((c.at for c in crossings if c.way == "day_over"), crossings[-1].at)
    for c in crossings:
        body = c.message or {}
        kind, guest = body.get("t", ""), body.get("guest", "")
        if c.role == "owner" and kind == "submit" and c.way == "out":
            submissions.setdefault(guest, c)
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
    if not submissions:
        return {"service": 0.0, "guests": 0}
    mean_cores = sum(c.message["cores"] for c in submissions.values()) / len(submissions)
    mean_memory = sum(c.message["memory"] for c in submissions.values()) / len(submissions)
    groups: dict[tuple[str, object], list[float]] = defaultdict(lambda: [0.0, 0.0])
    first = min(c.at for c in submissions.values())
    for guest, c in submissions.items():
        submission, guest_class = c.message, rules.products[c.message["product"]]
        size = (
            (submission["cores"] / mean_cores + submission["memory"] / mean_memory)
            / 2
            * guest_class["payoff"]
        )
        seconds = (
            max(0, min(submission.get("life", 0), min(end_at, cancelled.get(guest, end_at)) - c.at)) / 1e6
        )
        requested = size * (seconds + guest_class["start_bonus"])
        start_delay = starts.get(guest, 1 << 62) - c.at
        fraction = 1.0 if start_delay <= guest_class["goal"] else 0.0
        if not fraction and start_delay <= guest_class["patience"]:
            fraction = guest_class["late_worth"]
        earned = size * (min(seconds, served[guest] / 1e6) + guest_class["start_bonus"] * fraction)
        for group in (
            ("whole", 0),
            ("window", (c.at - first) // WINDOW_US),
            ("product", submission["product"]),
            ("customer", submission.get("customer", "")),
        ):
            groups[group][0] += earned
            groups[group][1] += requested
    shares = {group: earned / requested for group, (earned, requested) in groups.items() if requested}

    def worst(kind: str) -> float:
        return min(share for (name, _), share in shares.items() if name == kind)

    parts = [shares["whole", 0], worst("window"), worst("product"), worst("customer")]
    weights = rules.weights
    service = sum(p * w for p, w in zip(parts, weights, strict=True)) / sum(weights)
    names = ("whole", "worst_window", "worst_product", "worst_customer")
    return {
        "service": round(service, 4),
        "guests": len(submissions),
        **{name: round(fraction, 4) for name, fraction in zip(names, parts, strict=True)},
    }
