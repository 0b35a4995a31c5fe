"""What the scenarios' words do: platforms, callers, operators and faults."""

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
RENEW_MS = 1_000
PUBLISH_SECONDS = 17


@step(
    r"a platform with (?P<workers>\d+) workers and (?P<runners>\d+) runners"
    r" for (?P<places>[\w, ]+), each with (?P<entries>\d+) entr(y|ies)"
    r" and (?P<schedulers>\d+) schedulers?"
)
def platform(world, workers, runners, places, entries, schedulers):
    names = [name.strip() for name in places.split(" and ")]
    rack_size = int(workers) // len(names)
    standin = {
        "workers": int(workers),
        "runners": int(runners),
        "rack_size": rack_size,
        "threads": 160,
    }
    flags = {"lease_ms": LEASE_MS, "renew_ms": RENEW_MS}
    world.start(names, int(entries), int(schedulers), standin, flags)


@step(r"organisation (?P<name>\w+) with no guarantee")
def organisation_without(world, name):
    organisation_with(world, name, "")


@step(r"organisation (?P<name>\w+) guaranteed (?P<sizes>[\d, ]+) in each data centre")
def organisation_with(world, name, sizes):
    row = world.publish(name, [int(size) for size in sizes.split(",") if size.strip()])
    assert row["code"] == ResultCode.OK, row
    seen = world.wait(
        PUBLISH_SECONDS, lambda: in_force_everywhere(world, row["offset"])
    )
    assert seen, "not in force everywhere in time"


def in_force_everywhere(world, offset):
    states = [world.cluster.state(a) for a in world.cluster.entry_addresses]
    return all(state["requests"]["configuration"] >= offset for state in states)


@step(
    r"(?P<who>\w+) submits (?P<count>\d+) (?P<service>\w+) jobs?"
    r" of (?P<run_ms>\d+) ms( and (?P<rows>\d+) rows)?( at entry (?P<entry>\d+))?"
)
def submit(world, who, count, service, run_ms, rows, entry):
    place = int(entry) if entry else None
    world.submit(who, service, int(count), int(run_ms), int(rows or 20), place)


@step(
    r"two callers submit the same (?P<service>\w+) job of (?P<who>\w+) at two entries"
)
def submit_twice(world, service, who):
    body = body_for(service, 4_242, 800)
    key = f"{int(time.time())}-same"
    last = len(world.cluster.entries) - 1
    world.submit_body(who, service, body, 0, key)
    world.submit_body(who, service, body, last, key)


@step(r"(?P<who>\w+) submits the body \"(?P<body>.*)\" to (?P<service>\w+)")
def submit_raw(world, who, body, service):
    world.submit_body(who, service, body.encode(), limit_ms=20_000)


@step(
    r"(?P<who>\w+) keeps submitting (?P<service>\w+) jobs of (?P<run_ms>\d+) ms,"
    r" (?P<rate>\d+) a second"
)
def load(world, who, service, run_ms, rate):
    world.load(who, service, int(run_ms), int(rate))


@step(r"the submitting ends")
def end_load(world):
    world.end_load()


@step(r"(?P<seconds>[\d.]+) seconds? pass(es)?")
def wait(world, seconds):
    world.wait(float(seconds), lambda: False)


@step(r"what has started is noted")
def note_starts(world):
    rows = world.effects()[0]
    world.marks["starts"] = len([r for r in rows if r["event"] == "started"])
    world.marks["stops"] = len([r for r in rows if r["event"] == "stopped"])


@step(r"the acting scheduler of (?P<place>\w+) is killed")
def kill_acting(world, place):
    process = world.acting(place)
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


@step(r"the acting scheduler of (?P<place>\w+) is paused for (?P<seconds>\d+) s")
def pause_acting(world, place, seconds):
    world.pause(world.acting(place), int(seconds))


@step(r"every process is restarted in turn")
def rolling_restart(world):
    for process in world.cluster.processes:
        status = process.stop()
        assert status == 0, f"{process.name} stopped with status {status}"
        process.start()
        ready = world.wait(20, lambda: world.cluster.all_ready())
        assert ready, f"{process.name} did not come back"


@step(r"all entries of (?P<place>\w+) are killed and started again")
def restart_entries(world, place):
    for process in world.cluster.entries:
        if process.flags["data_centre"] == place:
            process.signal(signal.SIGKILL)
            process.kill()
            process.start()


@step(r"the log goes down")
def log_down(world):
    world.set_log_down(True)


@step(r"the log is back")
def log_back(world):
    world.set_log_down(False)


@step(r"the log takes appends but its answers are lost")
def log_swallows(world):
    world.proxy.set_fault(world.log_ports(), Fault.DROP_RESPONSES)


@step(r"the log's answers arrive again")
def log_answers(world):
    world.proxy.set_fault(world.log_ports(), Fault.NONE)


@step(r"(?P<place>\w+) is cut off from the platform")
def cut_platform(world, place):
    world.proxy.set_fault(world.platform_ports(place), Fault.CUT)


@step(r"(?P<place>\w+) is cut off from the other data centres")
def cut_region(world, place):
    world.proxy.set_fault(world.region_ports(place), Fault.CUT)


@step(r"the schedulers of (?P<place>\w+) are cut off from each other")
def cut_schedulers(world, place):
    world.proxy.set_fault(world.scheduler_ports(place), Fault.CUT)


@step(r"(?P<place>\w+) is joined again")
def join(world, place):
    ports = world.platform_ports(place) + world.region_ports(place)
    ports += world.scheduler_ports(place)
    world.proxy.set_fault(ports, Fault.NONE)


@step(
    r"workers? (?P<numbers>[\d, ]+) (?P<how>is cut|swallows? answers|"
    r"freezes?|loses? its open connections|is reachable again)"
)
def worker_fault(world, numbers, how):
    faults = {
        "is cut": Fault.CUT,
        "swallows answers": Fault.DROP_RESPONSES,
        "swallow answers": Fault.DROP_RESPONSES,
        "freezes": Fault.FREEZE,
        "loses its open connections": Fault.FREEZE_OPEN,
        "lose its open connections": Fault.FREEZE_OPEN,
        "is reachable again": Fault.NONE,
    }
    ports = world.worker_ports([int(n) for n in numbers.split(",")])
    world.proxy.set_fault(ports, faults[how])
    if faults[how] == Fault.FREEZE_OPEN:
        world.proxy.set_fault(ports, Fault.NONE)


@step(r"runners (?P<numbers>[\d, ]+) lose their open connections")
def runners_silent(world, numbers):
    ports = world.runner_ports([int(n) for n in numbers.split(",")])
    world.proxy.set_fault(ports, Fault.FREEZE_OPEN)
    world.proxy.set_fault(ports, Fault.NONE)


@step(r"runners (?P<numbers>[\d, ]+) freeze")
def runners_freeze(world, numbers):
    ports = world.runner_ports([int(n) for n in numbers.split(",")])
    world.proxy.set_fault(ports, Fault.FREEZE)


@step(r"answers from worker (?P<number>\d+) are cut after (?P<count>\d+) bytes, once")
def cut_answers(world, number, count):
    world.proxy.cut_responses_after(world.worker_ports([int(number)]), int(count))


@step(r"worker (?P<number>\d+) fails everything")
def worker_fails(world, number):
    world.set_worker_fault(int(number), True)


@step(r"worker (?P<number>\d+) is listed as (?P<state>live|leaving)")
def list_worker(world, number, state):
    world.set_host_state(f"worker-{number}", state)
    world.marks["leaving_at_ms"] = world.effects()[1]


@step(r"two operators publish (?P<name>\w+) on the same base")
def race(world, name):
    last = len(world.cluster.entries) - 1
    first = world.publish(name, [2], base=-1, entry=0)
    second = world.publish(name, [4], base=-1, entry=last)
    world.marks["race"] = (first, second)


@step(r"retention drops the configuration's first records")
def drop_records(world):
    top = max(versions(world, 0).values())
    world.drop_records("configuration", top - 20)


@step(r"retention drops the configuration's records before the last snapshot")
def drop_to_snapshot(world):
    url = f"http://127.0.0.1:{world.port}/streams/configuration?from=0&limit=10000"
    snapshots = [r[0] for r in get_json(url)["records"] if '"snapshot"' in r[2]]
    assert snapshots, "no snapshot stands in the log"
    world.drop_records("configuration", snapshots[-1])


@step(r"all processes are killed and started again")
def restart_everything(world):
    for process in world.cluster.processes:
        process.kill()
    for process in world.cluster.processes:
        process.start()


@step(r"(?P<count>\d+) changes of configuration are published")
def many_changes(world, count):
    version = -1
    for number in range(int(count)):
        row = world.publish("churner", [], base=version, share=1 + number % 7)
        assert row["code"] == ResultCode.OK, row
        version = row["offset"]


@step(r"the configuration is noted")
def note_configuration(world):
    world.marks["versions"] = versions(world, 0)


def versions(world, entry):
    """Return what is in force at an entry, by organisation."""
    address = world.cluster.entry_addresses[entry]
    return get_json(f"http://{address}/v1/configuration")["versions"]


@step(r"the (?P<who>\w+) jobs are cancelled")
def cancel_all(world, who):
    client = EntryClient(create_clock(), world.cluster.entry_addresses)
    rows = client.request_json("GET", "/v1/listings/jobs")[1]["rows"]
    for row in rows:
        if row["organisation"] == who:
            client.cancel(row["job_id"])
    client.close()
