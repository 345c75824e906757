"""Summarizes a planner's view of its machines for its debug log."""

from hazelhold.engine.engine import Engine


def machine_summaries(engine: Engine, now: int) -> dict[str, str]:
    """Returns one line per listed machine, by name. `now` is in microseconds of the engine's clock."""
    summaries = {}
    for name, listed in engine.roster.machines.items():
        known, link = engine.scheduler.machines.get(name), engine.links.get(name)
        if known is None:
            continue
        cores, memory = known.free_capacity(engine.deployment)
        summaries[name] = (
            f"{listed.mode.name} room={cores:.1f}/{memory:.1f} used={known.used} "
            f"guests={len(known.guests)} strikes={known.failures} mute={known.unresponsive} "
            f"rests={max(0, known.backoff_until - now) // 1000} "
            f"link={link.state if link else '-'} "
            f"heard={(now - link.heard_at) // 1000 if link else '-'}"
        )
    return summaries
