"""What a planner believes of its machines, for its debug log."""

from hazelhold.engine.engine import Engine


def machine_beliefs(engine: Engine, now: int) -> dict[str, str]:
    """A line for each machine of the list. `now` in microseconds of the engine's clock."""
    found = {}
    for name, fellow in engine.roster.fellows.items():
        known, link = engine.scheduler.machines.get(name), engine.links.get(name)
        if known is None:
            continue
        cores, memory = known.free_capacity(engine.facts)
        found[name] = (
            f"{fellow.mode.name} room={cores:.1f}/{memory:.1f} used={known.used} "
            f"guests={len(known.guests)} strikes={known.failures} mute={known.unresponsive} "
            f"rests={max(0, known.backoff_until - now) // 1000} "
            f"link={link.state if link else '-'} "
            f"heard={(now - link.heard_at) // 1000 if link else '-'}"
        )
    return found
