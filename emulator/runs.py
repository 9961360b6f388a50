"""Runs an experiment over its variants and seeds on several processes, and keeps the results in a folder.

    FOLDER/experiment.json      the experiment, seeds and versions, from which every figure can be reproduced
    FOLDER/runs/VARIANT/SEED    one finished run as a line of JSON; written atomically
    FOLDER/results.jsonl        all runs by variant and seed: the same bytes on one process and on eight

A run depends only on experiment, variant, seed and version. An interrupted experiment continues with the
runs that are missing (`resume`). A folder of another experiment is refused."""

from __future__ import annotations

import gc
import hashlib
import os
import signal
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from multiprocessing import get_context
from pathlib import Path

import msgspec

from .engines import set_constants
from .experiment import Experiment, Variant
from .intervals import difference, looks
from .measure_names import MEASURES
from .measures import Record
from .world import World

FORMAT = 1
QUEUED_RUNS = 2  # runs queued for each process; an interrupt waits for these only


class RunsError(RuntimeError):
    """The folder holds another experiment, or cannot be used."""


class Result(msgspec.Struct, frozen=True):
    variant: str
    seed: int
    figures: dict[str, float | None]  # None: nothing to measure
    broken: list[str]
    breaks: int
    messages: int
    turns: int
    series: dict[str, list[float]]
    destinations: list[list[float]]
    histograms: dict[str, str]

    def figure(self, name: str) -> float:
        value = self.figures[name]
        return float("nan") if value is None else value


class Manifest(msgspec.Struct, frozen=True):
    format: int
    experiment: Experiment
    versions: dict[str, str]  # variant -> fingerprint of its decision module


RESULT: msgspec.json.Decoder[Result] = msgspec.json.Decoder(Result)
ENCODE = msgspec.json.Encoder(order="deterministic").encode


def fingerprint(folder: Path) -> str:
    """A hash of the sources in the package folder of a version."""
    total = hashlib.blake2b(digest_size=8)
    for path in sorted((folder / "message_relay").glob("*.py")):
        total.update(path.name.encode() + b"\0" + path.read_bytes())
    return total.hexdigest()


def versions(experiment: Experiment) -> dict[str, str]:
    root = Path(__file__).parents[1]
    return {
        each.name: fingerprint(Path(each.version) if each.version else root)
        for each in experiment.all_variants()
    }


def result_of(record: Record, variant: Variant, seed: int) -> Result:
    figures = {name: None if value != value else round(value, 9) for name, value in record.figures().items()}
    return Result(
        variant.name,
        seed,
        figures,
        record.broken,
        record.breaks,
        len(record.histories),
        record.turns,
        record.series(),
        record.by_destination(),
        record.histograms(),
    )


def one(experiment: Experiment, variant: Variant, seed: int) -> Result:
    """Makes one run. The constants of the variant are set only for its duration."""
    before = {} if variant.version else set_constants(variant.constants.items())
    gc.collect()
    gc.disable()  # a world creates few cycles, and collections over all its messages take a tenth of the time
    try:
        record = World(experiment, variant, seed).run()
        return result_of(record, variant, seed)
    finally:
        gc.enable()
        set_constants(before.items())


def _worker() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent process handles Ctrl-C


def _work(experiment: Experiment, variant: Variant, seed: int, path: str) -> None:
    data = ENCODE(one(experiment, variant, seed)) + b"\n"
    part = f"{path}.{os.getpid()}"
    Path(part).write_bytes(data)
    os.replace(part, path)


class Runs:
    """The runs of one experiment in a folder."""

    def __init__(self, experiment: Experiment, folder: Path, resume: bool = False) -> None:
        """Raises RunsError."""
        self.experiment, self.folder = experiment, folder
        self.variants = experiment.all_variants()
        encoded = ENCODE(Manifest(FORMAT, experiment, versions(experiment))) + b"\n"
        path = folder / "experiment.json"
        if path.exists():
            if path.read_bytes() != encoded:
                raise RunsError(f"{folder}: holds another experiment, or other versions: name another folder")
            if not resume and any(path.name.isdecimal() for path in folder.glob("runs/*/*")):
                raise RunsError(
                    f"{folder}: holds results already: go on with --resume, or name another folder"
                )
        folder.mkdir(parents=True, exist_ok=True)
        path.write_bytes(encoded)
        for variant in self.variants:
            (folder / "runs" / variant.name).mkdir(parents=True, exist_ok=True)
        for partial_file in folder.glob("runs/*/*.*"):  # left by a run that was stopped during writing
            partial_file.unlink(missing_ok=True)

    def path(self, variant: Variant, seed: int) -> Path:
        return self.folder / "runs" / variant.name / str(seed)

    def seeds(self) -> range:
        return range(self.experiment.first_seed, self.experiment.first_seed + self.experiment.seeds)

    def run(self, processes: int, progress: Callable[[int, int], None]) -> int:
        """Runs until all seeds are done, the interval is narrow enough, or KeyboardInterrupt, which keeps
        the finished runs. Returns the number of seeds used. `progress` is called with the runs done and the
        runs in total."""
        context = get_context("forkserver" if processes > 1 else "fork")
        seeds = self.seeds()
        steps = [len(seeds)] if self.experiment.half_width is None else looks(len(seeds))
        done = 0
        with ProcessPoolExecutor(processes, context, _worker) as pool:
            for upto in steps:
                missing = [
                    (variant, seed)
                    for seed in seeds[:upto]
                    for variant in self.variants
                    if not self.path(variant, seed).exists()
                ]
                self._run_missing(pool, missing, processes, progress, upto * len(self.variants))
                done = upto
                if self._is_narrow_enough(seeds[:upto]):
                    break
        self.collect(seeds[:done])
        return done

    def _run_missing(
        self,
        pool: ProcessPoolExecutor,
        missing: list[tuple[Variant, int]],
        processes: int,
        progress: Callable[[int, int], None],
        total: int,
    ) -> None:
        waiting: set[Future[None]] = set()
        left = iter(missing)
        count = total - len(missing)
        progress(count, total)
        try:
            while True:
                for variant, seed in left:
                    waiting.add(
                        pool.submit(_work, self.experiment, variant, seed, str(self.path(variant, seed)))
                    )
                    if len(waiting) >= QUEUED_RUNS * processes:
                        break
                if not waiting:
                    return
                finished, waiting = wait(waiting, return_when=FIRST_COMPLETED)
                for future in finished:
                    future.result()
                    count += 1
                progress(count, total)
        except BaseException:
            for future in waiting:
                future.cancel()
            raise

    def _is_narrow_enough(self, seeds: range) -> bool:
        """Whether the intervals of all variants against the first one are within `half_width`."""
        if self.experiment.half_width is None or len(self.variants) < 2:
            return False
        rows = {
            variant.name: [self.load(variant, seed).figure(self.experiment.measure) for seed in seeds]
            for variant in self.variants
        }
        first = rows[self.variants[0].name]
        return all(
            difference(first, rows[variant.name]).half <= self.experiment.half_width
            for variant in self.variants[1:]
        )

    def store(self, result: Result) -> None:
        """Stores a run that was made elsewhere."""
        path = self.folder / "runs" / result.variant / str(result.seed)
        part = path.with_name(f"{path.name}.{os.getpid()}")
        part.write_bytes(ENCODE(result) + b"\n")
        os.replace(part, path)

    def load(self, variant: Variant, seed: int) -> Result:
        return RESULT.decode(self.path(variant, seed).read_bytes())

    def collect(self, seeds: range) -> None:
        """Writes results.jsonl from the finished runs of these seeds."""
        part = self.folder / "results.part"
        with open(part, "wb") as out:
            for variant in self.variants:
                for seed in seeds:
                    out.write(self.path(variant, seed).read_bytes())
        os.replace(part, self.folder / "results.jsonl")


def manifest(folder: Path) -> Manifest:
    """Reads FOLDER/experiment.json. Raises RunsError."""
    try:
        loaded: Manifest = msgspec.json.decode((folder / "experiment.json").read_bytes(), type=Manifest)
    except (OSError, ValueError) as error:
        raise RunsError(f"{folder}: holds no experiment: {error}") from error
    if loaded.format > FORMAT:
        raise RunsError(f"{folder}: has format {loaded.format}; this program supports formats up to {FORMAT}")
    return loaded


def results(folder: Path) -> Iterator[Result]:
    """Reads FOLDER/results.jsonl. Raises RunsError."""
    try:
        with open(folder / "results.jsonl", "rb") as file:
            for line in file:
                yield RESULT.decode(line)
    except OSError as error:
        raise RunsError(f"{folder}: has no results yet: {error.strerror}") from error


def by_variant(folder: Path) -> dict[str, list[Result]]:
    out: dict[str, list[Result]] = {}
    for result in results(folder):
        out.setdefault(result.variant, []).append(result)
    return out


def row(runs: list[Result], measure: str) -> list[float]:
    """The values of one figure over the seeds of a variant."""
    if measure not in MEASURES:
        raise RunsError(f"{measure!r} is none of {', '.join(MEASURES)}")
    return [result.figure(measure) for result in runs]
