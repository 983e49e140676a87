"""``ringledge lab``: stand-in servers and load on loopback. Needs requirements-lab.txt."""

from __future__ import annotations

from pathlib import Path

import click


@click.group()
def lab() -> None:
    """Stand-in servers and load, on loopback alone."""


@lab.command()
@click.option("--folder", type=click.Path(file_okay=False, path_type=Path), required=True,
              help="Where config.json for a conductor is written.")  # fmt: skip
@click.option("--readers", default=2, show_default=True, help="Readers.")
@click.option("--writers", default=2, show_default=True, help="Writers.")
@click.option("--read-ms", default=20.0, show_default=True, help="Time that a read takes.")
@click.option("--stream-ms", default=300.0, show_default=True, help="Time that an answer streams.")
@click.option("--events", default=6, show_default=True, help="Events of an answer.")
@click.option("--event-bytes", default=32, show_default=True, help="Length of each event's text.")
@click.option("--memory-mb", default=192.0, show_default=True, help="limits.memory_mb of config.json.")
@click.option("--sockets", default=1024, show_default=True, help="limits.sockets of config.json.")
@click.option("--operator", default="127.0.0.2:0", show_default=True, help="The operators' address.")
def servers(folder: Path, readers: int, writers: int, read_ms: float, stream_ms: float, events: int,
            event_bytes: int, memory_mb: float, sockets: int, operator: str) -> None:  # fmt: skip
    """Play readers, writers and discovery until SIGTERM; what ran is told at discovery's /audit."""
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
@click.option("--target", required=True, help="Address of the conductor's platform front.")
@click.option("--rate", default=100.0, show_default=True, help="Requests a second (open loop).")
@click.option("--seconds", default=10.0, show_default=True, help="How long requests are sent.")
@click.option("--bookings", default=0.19, show_default=True, help="Share of manifest-booking.")
@click.option("--prompt-kb", default=2.0, show_default=True, help="Median size of a request's body.")
@click.option("--prompt-sigma", default=0.0, show_default=True, help="Sigma of its lognormal spread.")
@click.option("--tenants", default="", help="NAME=SHARE,... of the requests; even shares if empty.")
@click.option("--burst", "bursts", multiple=True, metavar="AT,FOR,TIMES[,KB]",
              help="From AT s for FOR s: TIMES the rate, with prompts of KB.")  # fmt: skip
@click.option("--unread", default=0, show_default=True, help="Clients that read nothing of their answers.")
@click.option("--watch", default="", help="Address whose /healthcheck is called ten times a second.")
@click.option("--seed", default=1, show_default=True, help="Of all draws.")
def load(target: str, rate: float, seconds: float, bookings: float, prompt_kb: float, prompt_sigma: float,
         tenants: str, bursts: tuple[str, ...], unread: int, watch: str, seed: int) -> None:  # fmt: skip
    """Send requests at their drawn times; latency counts from the intended time. A report in JSON."""
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
    """Start servers and a conductor, send a few requests, and say what happened."""
    from ringledge.lab import demo

    raise SystemExit(demo.run())
