"""A trial's figures as a table for people."""

from collections.abc import Iterable

from bench.capacity.configuration.results import Result, Used


def table(result: Result) -> str:
    """A block for each phase, a line for each kind of machine."""
    trial = result.trial
    lines = [
        f"{trial.planners} planners, {len(result.roles)} processes {result.roles}, relays {trial.relays},"
        f" {trial.controls} control machines; settled {result.settled}; load {result.load_average:.1f};"
        f" unequal pairs {result.unequal} of {result.compared}, relayed {result.relayed};"
        f" faults {result.faults}"
    ]
    for name, phase in result.phases.items():
        lines.append(
            f"{name}: {phase.seconds:g} s, {phase.asked} changes, {phase.not_committed} not committed,"
            f" {len(phase.taken)} revisions, all back after {phase.returned:.2f} s"
        )
        for field in ("committed", "in_force", "told"):
            values = sorted(getattr(each, field) for each in phase.taken)
            known = [value for value in values if value >= 0]
            if known:
                lines.append(
                    f"    {field}: median {known[len(known) // 2]:.3f}, worst {known[-1]:.3f} s"
                    f" ({len(known)} of {len(values)})"
                )
        for kind in ("control", "real", "hollow", "off"):
            if used := result.of(name, kind):
                lines.append("    " + line(kind, used))
    return "\n".join(lines)


def line(kind: str, used: list[Used]) -> str:
    """The mean of all, the busiest, the worst second."""
    size = [each.bytes for each in used]
    text = (
        f"{kind:8} messages/s mean {mean(each.messages for each in used):.1f} busiest"
        f" {max(each.messages for each in used):.1f}; bytes/s mean {mean(size):.0f} busiest {max(size):.0f},"
        f" in {mean(each.bytes_in for each in used):.0f} out {mean(each.bytes_out for each in used):.0f};"
        f" worst second {max(each.worst for each in used):.0f}"
    )
    if any(each.resident for each in used):
        text += (
            f"; core mean {mean(each.cpu for each in used):.3%} most {max(each.cpu for each in used):.3%}"
            f" worst second {max(each.worst_cpu for each in used):.1%};"
            f" MB {mean(one.resident for one in used) / 1e6:.1f}"
            f" most {max(one.resident for one in used) / 1e6:.1f}"
        )
    return text


def mean(values: Iterable[float]) -> float:
    found = list(values)
    return sum(found) / len(found)
