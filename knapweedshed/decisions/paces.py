"""Reads speeds out of the progress that workers list."""

from knapweedshed.decisions.fleet import WHOLE_PERCENT, MemberPhase
from knapweedshed.decisions.room import rack_of
from knapweedshed.models.work import EndKind, unit_of


class PaceNotes:
    """Hands what runs and ends show to the speeds, where it tells of its worker."""

    def __init__(self, ledger, workers, runs, speeds):
        self._ledger = ledger
        self._workers = workers
        self._runs = runs
        self._speeds = speeds

    def note(self, belief, gone, now_ms):
        """Learn from what runs at a worker, and from what ended there as done.

        The members of a gang have work of their own, and wait at 100% for the others.
        """
        for member in belief.members.values():
            if member.seen and member.phase == MemberPhase.RUNNING:
                if member.percent < WHOLE_PERCENT:
                    self._note_one(belief, member, member.percent, now_ms)
        for item in gone:
            if item.kind == EndKind.DONE:
                self._note_one(belief, item.member, WHOLE_PERCENT, now_ms)

    def _note_one(self, belief, member, percent, now_ms):
        progress = self._ledger.jobs.get(member.task.job_id)
        if progress is None or belief.entry is None:
            return
        step = progress.job.steps[member.task.step]
        unit = unit_of(member.task, step)
        run = self._runs.get(unit)
        if run is None or run.run != member.run or progress.saved.get(unit):
            return
        if run.taken_up or self._is_far(step, run):
            return
        if step.gang and percent >= WHOLE_PERCENT:
            return
        self._speeds.observe(
            (member.task, member.run),
            unit.job_id,
            belief.worker_id,
            percent,
            now_ms - run.started_ms,
            step.estimate_ms,
            now_ms,
        )

    def _is_far(self, step, run):
        """Return whether a run is slowed by racks, or can't be told."""
        beliefs = [self._workers.get(worker_id) for worker_id in run.workers]
        if any(belief is None or belief.entry is None for belief in beliefs):
            return True
        racks = {rack_of(belief.entry.labels) for belief in beliefs}
        if step.same_rack and len(racks) > 1:
            return True
        return bool(step.data_rack) and racks != {step.data_rack}
