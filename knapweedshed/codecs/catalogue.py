"""Registers every message type that is sent to a process or stored in the log."""

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
    """Register all message types with the decoder; idempotent."""
    register(shapes.Shape, shapes.Placement)
    register(configuration.Service, configuration.Organisation)
    register(configuration.Configuration)
    register(jobs.InputReference, jobs.Job, jobs.AnswerLocation, jobs.JobStatus)
    register(workers.Host, workers.Labels, workers.Lease, workers.WorkerReport)
    register(*ledger.RECORD_TYPES)
    register(*wire.MESSAGE_TYPES)
    register(work.Resources, work.Step, work.WorkJob, work.Task, work.Unit)
    register(work.TaskEnd, *work_records.RECORD_TYPES)
