"""Measurements of failure detection, false ejections and the floor."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import concurrent.futures
import statistics
import typing

from bench import baseline_run
from bench import figure
from bench import floor_run
from bench import shard_run
from bench import target_fault
from bench import workload
from fuchsiacourse import service_file

PROCESSES = 4

ONSET_S = 30.0
WATCH_S = 10.0
# Seconds without new work after which a target counts as avoided.
QUIET_S = 3.0
DETECTION_SEEDS = 6
BASELINE_SEEDS = 2
MEDIAN_BOUND_S = 1.0
P95_BOUND_S = 3.0

LOW_USE = 0.2
HIGH_USE = 2.0
SWING_S = 10.0
FALSE_EJECTION_BOUND = 1.0
SECONDS_PER_RUN = 600.0
FALSE_EJECTION_SEEDS = 2

FLOOR_SCHEDULES = 1000

Job = typing.TypeVar("Job")
Result = typing.TypeVar("Result")


class DetectionJob:
    """Parameters of one run with a target fault.

    Args:
        user: Index into ``workload.USERS``.
        service: Name of the service.
        region: Region of the shard.
        fault: Kind of the fault.
        seed: Seed of the run.
        policy: ``own``, ``round_robin`` or ``least_outstanding``.
    """

    def __init__(
        self,
        *,
        user: int,
        service: str,
        region: str,
        fault: target_fault.FaultKind,
        seed: int,
        policy: str,
    ) -> None:
        self.user = user
        self.service = service
        self.region = region
        self.fault = fault
        self.seed = seed
        self.policy = policy

    @property
    def cell(self) -> tuple[int, str, str]:
        """User, fault and policy, by which runs are grouped."""
        return self.user, self.fault.value, self.policy


def detect(job: DetectionJob) -> float:
    """Returns the seconds from a fault's onset to the target's last new work.

    Only work affected by the fault counts, and no canaries. The result is
    WATCH_S for a target that never goes without such work for QUIET_S.
    """
    service = workload.service(workload.USERS[job.user], job.service)
    targets = [item for item in service.targets if item.region == job.region]
    one_kind = job.fault is target_fault.FaultKind.ONE_KIND
    kind = service.kinds[job.seed % len(service.kinds)].name
    fault = target_fault.TargetFault(
        target_id=targets[job.seed % len(targets)].id,
        kind=job.fault,
        onset_s=ONSET_S,
        request_kind=kind if one_kind else "",
    )
    run = _detection_run(job, service, fault)
    run.run(ONSET_S + WATCH_S)
    last_s = ONSET_S
    for start in run.starts:
        if start.target_id != fault.target_id or start.is_canary:
            continue
        if not fault.affects(start.kind, start.at_s):
            continue
        if start.at_s - last_s > QUIET_S:
            break
        last_s = start.at_s
    if last_s > ONSET_S + WATCH_S - QUIET_S:
        return WATCH_S
    return last_s - ONSET_S


def _detection_run(
    job: DetectionJob,
    service: service_file.ServiceFile,
    fault: target_fault.TargetFault,
) -> shard_run.ShardRun | baseline_run.BaselineRun:
    if job.policy == "own":
        return shard_run.ShardRun(
            service=service,
            region=job.region,
            seed=job.seed,
            use=lambda now: workload.ORDINARY_USE,
            faults=[fault],
        )
    return baseline_run.BaselineRun(
        service=service,
        region=job.region,
        seed=job.seed,
        faults=[fault],
        ejects=job.policy == "least_outstanding",
    )


def detection_jobs() -> list[DetectionJob]:
    """Returns the runs of the detection measurement."""
    policies = (
        ("own", DETECTION_SEEDS),
        ("round_robin", BASELINE_SEEDS),
        ("least_outstanding", BASELINE_SEEDS),
    )
    return [
        DetectionJob(
            user=index,
            service=name,
            region=region,
            fault=fault,
            seed=1000 * index + 10 * place + seed,
            policy=policy,
        )
        for index, user in enumerate(workload.USERS)
        for fault in target_fault.FaultKind
        for policy, seeds in policies
        for place, name in enumerate(user.targets_by_service)
        for region in user.zones_by_region
        for seed in range(seeds)
    ]


def measure_detection() -> list[figure.Figure]:
    """Measures the detection time of each kind of fault for each user."""
    jobs = detection_jobs()
    times: dict[tuple[int, str, str], list[float]] = {}
    for job, time_s in zip(jobs, in_processes(detect, jobs)):
        times.setdefault(job.cell, []).append(time_s)
    figures = []
    for index, user in enumerate(workload.USERS):
        for fault in target_fault.FaultKind:
            for name, bound, summary in (
                ("median", MEDIAN_BOUND_S, statistics.median),
                ("p95", P95_BOUND_S, p95),
            ):
                values = {
                    policy: summary(times[index, fault.value, policy])
                    for policy in ("own", "round_robin", "least_outstanding")
                }
                own = values.pop("own")
                figures.append(
                    figure.Figure(
                        name=f"detection_{name}/{fault.value}/{user.name}",
                        value=own,
                        unit="s",
                        bound=bound,
                        baselines=values,
                        must_beat=True,
                    )
                )
    return figures


def p95(values: Sequence[float]) -> float:
    """Returns the smallest value that at most one in twenty exceeds."""
    return sorted(values)[max(0, -(-len(values) * 95 // 100) - 1)]


def swinging_use(now: float) -> float:
    """Returns a load that changes tenfold every SWING_S seconds."""
    return HIGH_USE if int(now / SWING_S) % 2 else LOW_USE


def count_false_ejections(
    job: tuple[int, str, str, int],
) -> tuple[float, int]:
    """Returns target-seconds and ejections of a run without faults."""
    user, name, region, seed = job
    run = shard_run.ShardRun(
        service=workload.service(workload.USERS[user], name),
        region=region,
        seed=seed,
        use=swinging_use,
        records=False,
    )
    run.run(SECONDS_PER_RUN)
    targets = len(run.shard.targets_by_id)
    return targets * SECONDS_PER_RUN, len(run.ejections)


def measure_false_ejections(
    seeds: int = FALSE_EJECTION_SEEDS,
) -> list[figure.Figure]:
    """Measures ejections of healthy targets per 10^6 target-seconds.

    Args:
        seeds: Number of runs of SECONDS_PER_RUN for each shard.
    """
    jobs = [
        (index, name, region, 100 * seed + place)
        for seed in range(seeds)
        for index, user in enumerate(workload.USERS)
        for place, name in enumerate(user.targets_by_service)
        for region in user.zones_by_region
    ]
    results = in_processes(count_false_ejections, jobs)
    target_s = sum(item[0] for item in results)
    ejections = sum(item[1] for item in results)
    return [
        figure.Figure(
            name="false_ejections",
            value=1e6 * ejections / target_s,
            unit="per_1e6_target_s",
            bound=FALSE_EJECTION_BOUND,
            note=f"{ejections} in {target_s:.0f} target-seconds",
        )
    ]


def run_schedule(seed: int) -> tuple[int, int]:
    """Returns the floor breaches and the ejections of a fault schedule."""
    run = floor_run.FloorRun(seed=seed)
    broken = run.run()
    return len(broken), run.counts["ejections"]


def measure_floor(schedules: int = FLOOR_SCHEDULES) -> list[figure.Figure]:
    """Counts breaches of the floor under random fault schedules.

    Args:
        schedules: Number of schedules, each with three to six deciders.
    """
    results = in_processes(run_schedule, list(range(schedules)))
    return [
        figure.Figure(
            name="floor_breaches",
            value=sum(item[0] for item in results),
            unit="breaches",
            bound=0.0,
            note=f"{schedules} schedules with"
            f" {sum(item[1] for item in results)} ejections",
        )
    ]


def in_processes(
    function: Callable[[Job], Result], jobs: Sequence[Job]
) -> list[Result]:
    """Returns the results of a function, computed by worker processes."""
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(function, jobs, chunksize=4))


MEASURES = {
    "detection": measure_detection,
    "false_ejections": measure_false_ejections,
    "floor": measure_floor,
}
