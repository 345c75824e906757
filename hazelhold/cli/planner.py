"""`hazelhold planner`: runs one planner, with its own protocol or that of the operators' platform."""

from pathlib import Path

import click

from hazelhold.cli import logs
from hazelhold.cli.errors import report_errors
from hazelhold.cli.options import FILE, log_options


@click.command("planner")
@click.option("--config", type=FILE, default=None, help="The planner's configuration, JSON5.")
@click.option(
    "--platform",
    is_flag=True,
    help="Speak the operators' platform's protocol; the configuration "
    "is $BALANCER_CONFIG unless --config names it.",
)
@click.option("--frames", is_flag=True, help="With --platform and --level debug: log every message.")
@click.option("--seed", type=int, default=None, help="Seed to use in place of the configuration's.")
@click.option("--record", type=FILE, default=None, help="Append every frame to this file.")
@click.option(
    "--capture", "to", type=FILE, default=None, help="Capture all connections to this file, as pcap(ng)."
)
@click.option("--ready", is_flag=True, help="Print the address to standard output once up.")
@click.option(
    "--state",
    "folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Store the state that must survive a restart in this folder.",
)
@click.option("--take-over", is_flag=True, help="Take over from the process that uses the state.")
@log_options
@report_errors
def planner(
    config: Path | None,
    platform: bool,
    frames: bool,
    seed: int | None,
    record: Path | None,
    to: Path | None,
    ready: bool,
    folder: Path | None,
    take_over: bool,
    log: str,
    level: str,
) -> None:
    """Run one planner until SIGTERM or SIGINT; SIGUSR2 hands over to a process that waits for its state."""
    if platform:
        if to or folder or take_over or record or seed is not None:
            raise click.UsageError(
                "with --platform there is no --capture, --state, --take-over, --record, --seed"
            )
        from hazelhold.platform.serve import serve

        logs.set_up(log, level)
        serve(config, frames)
        return
    if config is None:
        raise click.UsageError("--config is needed")

    import signal

    import structlog
    import trio
    from msgspec.structs import replace

    from hazelhold.config.load import ConfigError
    from hazelhold.config.planner import check_planner, read_planner
    from hazelhold.protocol.record import Recorder
    from hazelhold.service.descriptors import raise_descriptor_limit
    from hazelhold.service.net import TcpNet
    from hazelhold.service.planner import Planner
    from hazelhold.service.signals import early_signals, run_until_end

    planner_config = read_planner(config)
    if to:
        planner_config = replace(planner_config, capture=replace(planner_config.capture, file=str(to)))
    if folder:
        planner_config = replace(planner_config, state=replace(planner_config.state, folder=str(folder)))
    if take_over and not planner_config.state.folder:
        raise ConfigError(str(config), [("state.folder", "is empty: there is nothing to take over")])
    if faults := check_planner(planner_config):  # checked again with the changes of the command line
        raise ConfigError(str(config), faults)
    logs.set_up(log, level)
    if record:
        record.parent.mkdir(parents=True, exist_ok=True)
    recorder = Recorder(record, planner_config.name, "planner")
    descriptors = raise_descriptor_limit().soft
    structlog.get_logger().info("descriptors", descriptors=descriptors, planner=planner_config.name)

    kinds = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR2)

    async def run(early: list[int]) -> None:
        service = Planner(
            planner_config,
            planner_config.seed if seed is None else seed,
            TcpNet(),
            recorder,
            take_over=take_over,
        )
        with trio.open_signal_receiver(*kinds) as signals:
            async with trio.open_nursery() as nursery:

                def handle(number: int) -> None:
                    (service.hand_over if number == signal.SIGUSR2 else service.stop)()

                async def listen() -> None:
                    async for number in signals:
                        handle(number)

                for number in early:
                    handle(number)
                nursery.start_soon(listen)

                async def serve(task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
                    await service.run(task_status=task_status)
                    nursery.cancel_scope.cancel()

                address = await nursery.start(serve)
                if ready:
                    print(address, flush=True)

    with early_signals(kinds) as early:
        run_until_end(kinds, run, early)
        recorder.close()
