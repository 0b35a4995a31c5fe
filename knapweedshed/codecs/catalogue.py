"""Registers every message that crosses a process boundary."""

from knapweedshed.codecs.plain import register
from knapweedshed.models import (
    configuration,
    jobs,
    ledger,
    shapes,
    wire,
    work,
    work_records,
    workers,
)


def register_all():
    """Make all wire and log messages known to the decoder; harmless when repeated."""
    register(shapes.Shape, shapes.Placement)
    register(configuration.Service, configuration.Organisation)
    register(configuration.Configuration)
    register(jobs.InputReference, jobs.Job, jobs.AnswerLocation, jobs.JobStatus)
    register(workers.Host, workers.Labels, workers.Lease, workers.WorkerReport)
    register(*ledger.RECORDS)
    register(*wire.MESSAGES)
    register(work.Resources, work.Step, work.WorkJob, work.Task, work.Unit)
    register(work.TaskEnd, *work_records.RECORDS)
