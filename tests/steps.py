"""Steps of the scenarios that act: platforms, callers, operators and faults."""

import signal
import time

from examples.cluster import get_json
from knapweedshed.clock import create_clock
from knapweedshed.links.entry_client import EntryClient
from knapweedshed.results import ResultCode
from tests.language import step
from tests.proxy import Fault
from tests.world import body_for

LEASE_MS = 4_000
RENEW_INTERVAL_MS = 1_000
PUBLISH_TIMEOUT_S = 17


@step(
    r"a platform with (?P<workers>\d+) workers and (?P<runners>\d+) runners"
    r" for (?P<data_centres>[\w, ]+), each with (?P<entries>\d+) entr(y|ies)"
    r" and (?P<schedulers>\d+) schedulers?"
)
def platform(world, workers, runners, data_centres, entries, schedulers):
    names = [name.strip() for name in data_centres.split(" and ")]
    rack_size = int(workers) // len(names)
    standin = {
        "workers": int(workers),
        "runners": int(runners),
        "rack_size": rack_size,
        "threads": 160,
    }
    flags = {"lease_ms": LEASE_MS, "renew_ms": RENEW_INTERVAL_MS}
    world.start(names, int(entries), int(schedulers), standin, flags)


@step(r"organisation (?P<name>\w+) with no guarantee")
def configure_organisation(world, name):
    configure_guaranteed_organisation(world, name, "")


@step(r"organisation (?P<name>\w+) guaranteed (?P<sizes>[\d, ]+) in each data centre")
def configure_guaranteed_organisation(world, name, sizes):
    row = world.publish(name, [int(size) for size in sizes.split(",") if size.strip()])
    assert row["code"] == ResultCode.OK, row
    published = world.wait(
        PUBLISH_TIMEOUT_S, lambda: is_in_force_everywhere(world, row["offset"])
    )
    assert published, "the configuration was not in force everywhere in time"


def is_in_force_everywhere(world, offset):
    states = [world.cluster.state(a) for a in world.cluster.entry_addresses]
    return all(state["requests"]["configuration"] >= offset for state in states)


@step(
    r"(?P<organisation>\w+) submits (?P<count>\d+) (?P<service>\w+) jobs?"
    r" of (?P<run_ms>\d+) ms( and (?P<rows>\d+) rows)?( at entry (?P<entry>\d+))?"
)
def submit(world, organisation, count, service, run_ms, rows, entry):
    first_entry = int(entry) if entry else None
    world.submit(
        organisation, service, int(count), int(run_ms), int(rows or 20), first_entry
    )


@step(
    r"two callers submit the same (?P<service>\w+) job of (?P<organisation>\w+)"
    r" at two entries"
)
def submit_twice(world, service, organisation):
    body = body_for(service, 4_242, 800)
    key = f"{int(time.time())}-same"
    last = len(world.cluster.entries) - 1
    world.submit_body(organisation, service, body, 0, key)
    world.submit_body(organisation, service, body, last, key)


@step(r"(?P<organisation>\w+) submits the body \"(?P<body>.*)\" to (?P<service>\w+)")
def submit_raw(world, organisation, body, service):
    world.submit_body(organisation, service, body.encode(), limit_ms=20_000)


@step(
    r"(?P<organisation>\w+) keeps submitting (?P<service>\w+) jobs"
    r" of (?P<run_ms>\d+) ms, (?P<rate>\d+) a second"
)
def start_load(world, organisation, service, run_ms, rate):
    world.start_load(organisation, service, int(run_ms), int(rate))


@step(r"the submitting ends")
def end_load(world):
    world.end_load()


@step(r"(?P<seconds>[\d.]+) seconds? pass(es)?")
def wait(world, seconds):
    world.wait(float(seconds), lambda: False)


@step(r"what has started is noted")
def note_start_counts(world):
    rows = world.effects()[0]
    world.marks["starts"] = len([r for r in rows if r["event"] == "started"])
    world.marks["stops"] = len([r for r in rows if r["event"] == "stopped"])


@step(r"the acting scheduler of (?P<data_centre>\w+) is killed")
def kill_acting(world, data_centre):
    process = world.acting(data_centre)
    world.marks["killed"] = process
    process.kill()


@step(r"all schedulers are killed and started again")
def restart_schedulers(world):
    for process in world.cluster.schedulers:
        process.kill()
    for process in world.cluster.schedulers:
        process.start()


@step(r"entry (?P<number>\d+) is killed")
def kill_entry(world, number):
    world.cluster.entries[int(number)].kill()


@step(r"the acting scheduler of (?P<data_centre>\w+) is paused for (?P<seconds>\d+) s")
def pause_acting(world, data_centre, seconds):
    world.pause(world.acting(data_centre), int(seconds))


@step(r"every process is restarted in turn")
def rolling_restart(world):
    for process in world.cluster.processes:
        status = process.stop()
        assert status == 0, f"{process.name} stopped with status {status}"
        process.start()
        ready = world.wait(20, lambda: world.cluster.all_ready())
        assert ready, f"{process.name} was not ready again in time"


@step(r"all entries of (?P<data_centre>\w+) are killed and started again")
def restart_entries(world, data_centre):
    for process in world.cluster.entries:
        if process.flags["data_centre"] == data_centre:
            process.signal(signal.SIGKILL)
            process.kill()
            process.start()


@step(r"the log goes down")
def take_log_down(world):
    world.set_log_down(True)


@step(r"the log is back")
def restore_log(world):
    world.set_log_down(False)


@step(r"the log takes appends but its answers are lost")
def lose_log_answers(world):
    world.proxy.set_fault(world.log_ports(), Fault.DROP_RESPONSES)


@step(r"the log's answers arrive again")
def restore_log_answers(world):
    world.proxy.set_fault(world.log_ports(), Fault.NONE)


@step(r"(?P<data_centre>\w+) is cut off from the platform")
def cut_off_from_platform(world, data_centre):
    world.proxy.set_fault(world.platform_ports(data_centre), Fault.CUT)


@step(r"(?P<data_centre>\w+) is cut off from the other data centres")
def cut_off_from_data_centres(world, data_centre):
    world.proxy.set_fault(world.inter_data_centre_ports(data_centre), Fault.CUT)


@step(r"the schedulers of (?P<data_centre>\w+) are cut off from each other")
def cut_off_schedulers(world, data_centre):
    world.proxy.set_fault(world.scheduler_ports(data_centre), Fault.CUT)


@step(r"(?P<data_centre>\w+) is joined again")
def reconnect(world, data_centre):
    ports = world.platform_ports(data_centre) + world.inter_data_centre_ports(
        data_centre
    )
    ports += world.scheduler_ports(data_centre)
    world.proxy.set_fault(ports, Fault.NONE)


@step(
    r"workers? (?P<numbers>[\d, ]+) (?P<fault_text>is cut|swallows? answers|"
    r"freezes?|loses? its open connections|is reachable again)"
)
def set_worker_link_fault(world, numbers, fault_text):
    fault_by_text = {
        "is cut": Fault.CUT,
        "swallows answers": Fault.DROP_RESPONSES,
        "swallow answers": Fault.DROP_RESPONSES,
        "freezes": Fault.FREEZE,
        "loses its open connections": Fault.FREEZE_OPEN,
        "lose its open connections": Fault.FREEZE_OPEN,
        "is reachable again": Fault.NONE,
    }
    ports = world.worker_ports([int(n) for n in numbers.split(",")])
    world.proxy.set_fault(ports, fault_by_text[fault_text])
    if fault_by_text[fault_text] == Fault.FREEZE_OPEN:
        world.proxy.set_fault(ports, Fault.NONE)


@step(r"runners (?P<numbers>[\d, ]+) lose their open connections")
def freeze_open_runner_connections(world, numbers):
    ports = world.runner_ports([int(n) for n in numbers.split(",")])
    world.proxy.set_fault(ports, Fault.FREEZE_OPEN)
    world.proxy.set_fault(ports, Fault.NONE)


@step(r"runners (?P<numbers>[\d, ]+) freeze")
def freeze_runners(world, numbers):
    ports = world.runner_ports([int(n) for n in numbers.split(",")])
    world.proxy.set_fault(ports, Fault.FREEZE)


@step(r"answers from worker (?P<number>\d+) are cut after (?P<count>\d+) bytes, once")
def cut_answers(world, number, count):
    world.proxy.cut_responses_after(world.worker_ports([int(number)]), int(count))


@step(r"worker (?P<number>\d+) fails everything")
def make_worker_fail(world, number):
    world.set_worker_fault(int(number), True)


@step(r"worker (?P<number>\d+) is listed as (?P<state>live|leaving)")
def set_worker_state(world, number, state):
    world.set_host_state(f"worker-{number}", state)
    world.marks["leaving_at_ms"] = world.effects()[1]


@step(r"two operators publish (?P<name>\w+) on the same base")
def publish_concurrently(world, name):
    last = len(world.cluster.entries) - 1
    first = world.publish(name, [2], base=-1, entry=0)
    second = world.publish(name, [4], base=-1, entry=last)
    world.marks["race"] = (first, second)


@step(r"retention drops the configuration's first records")
def drop_records(world):
    newest_offset = max(versions(world, 0).values())
    world.drop_records("configuration", newest_offset - 20)


@step(r"retention drops the configuration's records before the last snapshot")
def drop_records_before_snapshot(world):
    url = f"http://127.0.0.1:{world.port}/streams/configuration?from=0&limit=10000"
    snapshots = [r[0] for r in get_json(url)["records"] if '"snapshot"' in r[2]]
    assert snapshots, "the log contains no snapshot"
    world.drop_records("configuration", snapshots[-1])


@step(r"all processes are killed and started again")
def restart_everything(world):
    for process in world.cluster.processes:
        process.kill()
    for process in world.cluster.processes:
        process.start()


@step(r"(?P<count>\d+) changes of configuration are published")
def publish_changes(world, count):
    version = -1
    for number in range(int(count)):
        row = world.publish("churner", [], base=version, share=1 + number % 7)
        assert row["code"] == ResultCode.OK, row
        version = row["offset"]


@step(r"the configuration is noted")
def note_configuration(world):
    world.marks["versions"] = versions(world, 0)


def versions(world, entry):
    """Return the configuration's offset in force at an entry, by organisation."""
    address = world.cluster.entry_addresses[entry]
    return get_json(f"http://{address}/v1/configuration")["versions"]


@step(r"the (?P<organisation>\w+) jobs are cancelled")
def cancel_jobs(world, organisation):
    client = EntryClient(create_clock(), world.cluster.entry_addresses)
    rows = client.request_json("GET", "/v1/listings/jobs")[1]["rows"]
    for row in rows:
        if row["organisation"] == organisation:
            client.cancel(row["job_id"])
    client.close()
