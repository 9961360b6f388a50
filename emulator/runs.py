"""Runs an experiment over its variants and seeds, on several processes, into a folder.

    FOLDER/experiment.json      the experiment, seeds, versions: what each figure can be made again from
    FOLDER/runs/VARIANT/SEED    a run that is done, as one line of JSON; written whole or not at all
    FOLDER/results.jsonl        all of them, by variant and seed: the same bytes on one process and on eight

A run depends on nothing but experiment, variant, seed and version. What is interrupted goes on with what is
there (`resume`); a folder of another experiment is refused."""

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
AHEAD = 2  # runs for each process that are handed out ahead: a stop waits for no more


class RunsError(RuntimeError):
    """The folder holds another experiment, or cannot be used."""


class Result(msgspec.Struct, frozen=True):
    variant: str
    seed: int
    figures: dict[str, float | None]  # None: there was nothing to measure
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
    """Of the sources of a version's package: what it decides by."""
    total = hashlib.blake2b(digest_size=8)
    for path in sorted((folder / "message_relay").glob("*.py")):
        total.update(path.name.encode() + b"\0" + path.read_bytes())
    return total.hexdigest()


def versions(it: Experiment) -> dict[str, str]:
    here = Path(__file__).parents[1]
    return {
        each.name: fingerprint(Path(each.version) if each.version else here) for each in it.all_variants()
    }


def result_of(record: Record, variant: Variant, seed: int) -> Result:
    figures = {name: None if value != value else round(value, 9) for name, value in record.figures().items()}
    return Result(
        variant.name,
        seed,
        figures,
        record.broken,
        record.breaks,
        len(record.lives),
        record.turns,
        record.series(),
        record.by_destination(),
        record.histograms(),
    )


def one(it: Experiment, variant: Variant, seed: int) -> Result:
    """One run. The constants of a variant hold for its time only."""
    before = {} if variant.version else set_constants(variant.constants.items())
    gc.collect()
    gc.disable()  # a world makes few cycles, and a collection over all its messages costs a tenth of the time
    try:
        record = World(it, variant, seed).run()
        return result_of(record, variant, seed)
    finally:
        gc.enable()
        set_constants(before.items())


def _worker() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent decides what a Ctrl-C means


def _work(it: Experiment, variant: Variant, seed: int, path: str) -> None:
    data = ENCODE(one(it, variant, seed)) + b"\n"
    part = f"{path}.{os.getpid()}"
    Path(part).write_bytes(data)
    os.replace(part, path)


class Runs:
    def __init__(self, it: Experiment, folder: Path, resume: bool = False) -> None:
        """Raises RunsError."""
        self.it, self.folder = it, folder
        self.variants = it.all_variants()
        told = ENCODE(Manifest(FORMAT, it, versions(it))) + b"\n"
        path = folder / "experiment.json"
        if path.exists():
            if path.read_bytes() != told:
                raise RunsError(f"{folder}: holds another experiment, or other versions: name another folder")
            if not resume and any(path.name.isdecimal() for path in folder.glob("runs/*/*")):
                raise RunsError(
                    f"{folder}: holds results already: go on with --resume, or name another folder"
                )
        folder.mkdir(parents=True, exist_ok=True)
        path.write_bytes(told)
        for variant in self.variants:
            (folder / "runs" / variant.name).mkdir(parents=True, exist_ok=True)
        for half in folder.glob("runs/*/*.*"):  # of a run that was stopped while it was written
            half.unlink(missing_ok=True)

    def path(self, variant: Variant, seed: int) -> Path:
        return self.folder / "runs" / variant.name / str(seed)

    def seeds(self) -> range:
        return range(self.it.first_seed, self.it.first_seed + self.it.seeds)

    def run(self, processes: int, progress: Callable[[int, int], None]) -> int:
        """Until all is done, the interval is narrow enough, or KeyboardInterrupt, which leaves what is done.
        Returns how many seeds were taken. `progress`: runs done, of so many."""
        context = get_context("forkserver" if processes > 1 else "fork")
        seeds = self.seeds()
        steps = [len(seeds)] if self.it.half_width is None else looks(len(seeds))
        done = 0
        with ProcessPoolExecutor(processes, context, _worker) as pool:
            for upto in steps:
                missing = [
                    (variant, seed)
                    for seed in seeds[:upto]
                    for variant in self.variants
                    if not self.path(variant, seed).exists()
                ]
                self._finish(pool, missing, processes, progress, upto * len(self.variants))
                done = upto
                if self._narrow(seeds[:upto]):
                    break
        self.collect(seeds[:done])
        return done

    def _finish(
        self,
        pool: ProcessPoolExecutor,
        missing: list[tuple[Variant, int]],
        processes: int,
        progress: Callable[[int, int], None],
        every: int,
    ) -> None:
        waiting: set[Future[None]] = set()
        left = iter(missing)
        count = every - len(missing)
        progress(count, every)
        try:
            while True:
                for variant, seed in left:
                    waiting.add(pool.submit(_work, self.it, variant, seed, str(self.path(variant, seed))))
                    if len(waiting) >= AHEAD * processes:
                        break
                if not waiting:
                    return
                finished, waiting = wait(waiting, return_when=FIRST_COMPLETED)
                for future in finished:
                    future.result()
                    count += 1
                progress(count, every)
        except BaseException:
            for future in waiting:
                future.cancel()
            raise

    def _narrow(self, seeds: range) -> bool:
        """The intervals of all variants against the first one are as narrow as asked for."""
        if self.it.half_width is None or len(self.variants) < 2:
            return False
        rows = {
            variant.name: [self.load(variant, seed).figure(self.it.measure) for seed in seeds]
            for variant in self.variants
        }
        first = rows[self.variants[0].name]
        return all(
            difference(first, rows[variant.name]).half <= self.it.half_width for variant in self.variants[1:]
        )

    def keep(self, result: Result) -> None:
        """A run that was made elsewhere."""
        path = self.folder / "runs" / result.variant / str(result.seed)
        part = path.with_name(f"{path.name}.{os.getpid()}")
        part.write_bytes(ENCODE(result) + b"\n")
        os.replace(part, path)

    def load(self, variant: Variant, seed: int) -> Result:
        return RESULT.decode(self.path(variant, seed).read_bytes())

    def collect(self, seeds: range) -> None:
        part = self.folder / "results.part"
        with open(part, "wb") as out:
            for variant in self.variants:
                for seed in seeds:
                    out.write(self.path(variant, seed).read_bytes())
        os.replace(part, self.folder / "results.jsonl")


def manifest(folder: Path) -> Manifest:
    """Raises RunsError."""
    try:
        told: Manifest = msgspec.json.decode((folder / "experiment.json").read_bytes(), type=Manifest)
    except (OSError, ValueError) as error:
        raise RunsError(f"{folder}: holds no experiment: {error}") from error
    if told.format > FORMAT:
        raise RunsError(f"{folder}: is of format {told.format}, and this program knows {FORMAT} at most")
    return told


def results(folder: Path) -> Iterator[Result]:
    """Raises RunsError."""
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


def row(found: list[Result], measure: str) -> list[float]:
    if measure not in MEASURES:
        raise RunsError(f"{measure!r} is none of {', '.join(MEASURES)}")
    return [result.figure(measure) for result in found]
