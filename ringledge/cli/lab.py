"""``ringledge lab``: stand-in servers and load generation on loopback; requires requirements-lab.txt."""

from __future__ import annotations

from pathlib import Path

import click


@click.group()
def lab() -> None:
    """Run stand-in servers and generate load, on loopback only."""


@lab.command()
@click.option("--folder", type=click.Path(file_okay=False, path_type=Path), required=True,
              help="Folder to which a router's config.json is written.")  # fmt: skip
@click.option("--readers", default=2, show_default=True, help="Number of prefill servers.")
@click.option("--writers", default=2, show_default=True, help="Number of decode servers.")
@click.option("--read-ms", default=20.0, show_default=True, help="Duration of a prefill.")
@click.option("--stream-ms", default=300.0, show_default=True, help="Duration of a streamed response.")
@click.option("--events", default=6, show_default=True, help="Number of events in a response.")
@click.option("--event-bytes", default=32, show_default=True, help="Text length of each event.")
@click.option("--memory-mb", default=192.0, show_default=True, help="limits.memory_mb in config.json.")
@click.option("--sockets", default=1024, show_default=True, help="limits.sockets in config.json.")
@click.option("--operator", default="127.0.0.2:0", show_default=True, help="Address of the operators' front.")
def servers(folder: Path, readers: int, writers: int, read_ms: float, stream_ms: float, events: int,
            event_bytes: int, memory_mb: float, sockets: int, operator: str) -> None:  # fmt: skip
    """Run stand-in servers and discovery until SIGTERM; discovery's /audit lists the executed requests."""
    from ringledge.lab import servers as stand_ins
    from ringledge.lab.instances import StandInPlan

    plan = StandInPlan(
        prefill_servers=readers,
        decode_servers=writers,
        prefill_ms=read_ms,
        stream_ms=stream_ms,
        events=events,
        event_bytes=event_bytes,
    )
    stand_ins.run(plan, folder, {"memory_mb": memory_mb, "sockets": sockets, "cores": 1.0}, operator)


@lab.command()
@click.option("--target", required=True, help="Address of the router's platform front.")
@click.option("--rate", default=100.0, show_default=True, help="Requests per second (open loop).")
@click.option("--seconds", default=10.0, show_default=True, help="Duration of the load.")
@click.option(
    "--bookings", default=0.19, show_default=True, help="Share of requests of class manifest-booking."
)
@click.option("--prompt-kb", default=2.0, show_default=True, help="Median size of a request body.")
@click.option(
    "--prompt-sigma", default=0.0, show_default=True, help="Sigma of the lognormal distribution of the size."
)
@click.option("--tenants", default="", help="NAME=SHARE,... of the requests; equal shares if empty.")
@click.option("--burst", "bursts", multiple=True, metavar="AT,FOR,TIMES[,KB]",
              help="From AT s for FOR s: TIMES the rate, with prompts of KB kB.")  # fmt: skip
@click.option(
    "--unread", default=0, show_default=True, help="Number of clients that do not read their responses."
)
@click.option("--watch", default="", help="Address whose /healthcheck is polled ten times per second.")
@click.option("--seed", default=1, show_default=True, help="Seed of the random generator.")
def load(target: str, rate: float, seconds: float, bookings: float, prompt_kb: float, prompt_sigma: float,
         tenants: str, bursts: tuple[str, ...], unread: int, watch: str, seed: int) -> None:  # fmt: skip
    """Send requests at random times and print a JSON report; latency counts from the scheduled time."""
    from ringledge.lab import load as generator
    from ringledge.lab.load_plan import LoadPlan, parse_burst, parse_shares

    try:
        tenant_shares = parse_shares(tenants)
        parsed_bursts = tuple(map(parse_burst, bursts))
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    plan = LoadPlan(
        target=target,
        requests_per_s=rate,
        duration_s=seconds,
        booking_share=bookings,
        prompt_kb=prompt_kb,
        prompt_sigma=prompt_sigma,
        tenant_shares=tenant_shares,
        bursts=parsed_bursts,
        non_reading_clients=unread,
        health_address=watch,
        seed=seed,
    )
    click.echo(generator.run(plan))


@lab.command()
def demo() -> None:
    """Start stand-in servers and a router, send a few requests and print a summary."""
    from ringledge.lab import demo

    raise SystemExit(demo.run())
