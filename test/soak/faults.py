"""Faults, drawn at random from a seed; several may overlap."""

import asyncio
import random
import signal
import time

from faulty_answers import AnswerFaults

FAULTS = []


def fault(function):
    # The order decides which faults a seed draws in run_schedule().
    FAULTS.append(function)
    return function


async def _hold_fault(deployment, seconds, undo):
    """Keeps a fault in force for the given time, then undoes it."""
    steps = max(1, int(seconds / 0.25))
    for _ in range(steps):
        deployment.record_disruption()
        await asyncio.sleep(seconds / steps)
    undo()
    deployment.record_disruption()


@fault
async def vm_killed(deployment, rng):
    vm = rng.choice(deployment.vms)
    if vm.is_running():
        await vm.kill()
    await _hold_fault(deployment, rng.uniform(0.1, 2), lambda: None)
    await vm.start()


@fault
async def leader_killed(deployment, rng):
    record = deployment.table.objects.get(("carawayhaven", "duty"))
    name = record["spec"].get("holder") if record else None
    vm = next((v for v in deployment.vms if v.name == name), deployment.vms[0])
    if vm.is_running():
        await vm.kill()
    await _hold_fault(deployment, rng.uniform(0.1, 2), lambda: None)
    await vm.start()


@fault
async def vms_stopped_gracefully(deployment, rng):
    for vm in rng.sample(deployment.vms, rng.randrange(1, 3)):
        if vm.is_running() and vm.stop_sent_at is None:
            if not await vm.terminate():
                deployment.checker.report(
                    "DRAIN", f"{vm.name} did not stop within "
                    f"its shutdown grace time")
            await asyncio.sleep(0.3)
            await vm.start()


@fault
async def vm_paused(deployment, rng):
    vm = rng.choice(deployment.vms)
    vm.send_signal(signal.SIGSTOP)
    await _hold_fault(deployment, rng.uniform(0.3, 4),
                      lambda: vm.send_signal(signal.SIGCONT))


@fault
async def several_vms_killed(deployment, rng):
    vms = rng.sample(deployment.vms, rng.randrange(2, len(deployment.vms) + 1))
    await asyncio.gather(*(vm.kill() for vm in vms if vm.is_running()))
    await _hold_fault(deployment, rng.uniform(0.1, 1), lambda: None)
    await asyncio.gather(*(vm.start() for vm in vms))


@fault
async def all_vms_reloaded(deployment, rng):
    for vm in deployment.vms:
        vm.send_signal(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0, 0.2))


@fault
async def store_down(deployment, rng):
    outage = rng.choice(["busy", "many", "reset", "silent"])
    count = rng.choice([1, 2, len(deployment.vms)])
    stores = [vm.store.faults for vm in rng.sample(deployment.vms, count)]
    for faults in stores:
        faults.outage = outage

    def undo():
        for faults in stores:
            faults.outage = None

    await _hold_fault(deployment, rng.uniform(0.5, 5), undo)


@fault
async def store_write_replies_lost(deployment, rng):
    max_delay_s = rng.choice([0.0, 4.0])
    for vm in deployment.vms:
        vm.store.faults.reply_loss_ratio, \
            vm.store.faults.max_write_delay_s = 0.35, max_delay_s

    def undo():
        for vm in deployment.vms:
            vm.store.faults.reply_loss_ratio = \
                vm.store.faults.max_write_delay_s = 0.0

    await _hold_fault(deployment, rng.uniform(1, 4), undo)


@fault
async def store_slow(deployment, rng):
    for vm in deployment.vms:
        vm.store.faults.delay_s = rng.uniform(0.1, 0.4)

    def undo():
        for vm in deployment.vms:
            vm.store.faults.delay_s = 0.0

    await _hold_fault(deployment, rng.uniform(1, 4), undo)


@fault
async def store_history_dropped(deployment, _rng):
    deployment.table.drop_history()


@fault
async def primary_crashes(deployment, rng):
    endpoint = rng.choice(list(deployment.groups.values())).current_primary
    if endpoint.running:
        await endpoint.crash()
    await _hold_fault(deployment, rng.uniform(0.3, 6), lambda: None)
    if not endpoint.running:
        await endpoint.start()


def _choose_links(deployment, rng, of_primary):
    group = rng.choice(list(deployment.groups.values()))
    endpoint = group.current_primary if of_primary \
        else rng.choice(group.endpoints)
    count = rng.choice([1, len(deployment.vms) // 2, len(deployment.vms)])
    vms = rng.sample(deployment.vms, max(1, count))
    return endpoint, [deployment.links[vm.name, endpoint.name] for vm in vms]


@fault
async def endpoint_partitioned(deployment, rng):
    endpoint, links = _choose_links(deployment, rng, rng.random() < 0.7)
    directions = rng.choice([("cut_to_server",), ("cut_to_client",),
                             ("cut_to_server", "cut_to_client")])
    endpoint.isolated = rng.random() < 0.5
    for link in links:
        for direction in directions:
            setattr(link.state, direction, True)

    def undo():
        endpoint.isolated = False
        for link in links:
            link.state.cut_to_server = link.state.cut_to_client = False
            link.reset_all()

    await _hold_fault(deployment, rng.uniform(0.5, 6), undo)
    if endpoint.group.current_primary is not endpoint:
        endpoint.become_replica_of(endpoint.group.current_primary)


@fault
async def connections_reset(deployment, rng):
    deployment.record_disruption()
    for link in deployment.links.values():
        if rng.random() < 0.4:
            link.reset_all()


@fault
async def connections_blackholed(deployment, rng):
    deployment.record_disruption()
    for link in deployment.links.values():
        if rng.random() < 0.4:
            link.blackhole_all()


@fault
async def links_slow(deployment, rng):
    _, links = _choose_links(deployment, rng, False)
    for link in links:
        link.state.delay_s = rng.uniform(0.05, 0.6)

    def undo():
        for link in links:
            link.state.delay_s = 0.0

    await _hold_fault(deployment, rng.uniform(1, 4), undo)


@fault
async def replica_behind(deployment, rng):
    group = rng.choice(list(deployment.groups.values()))
    endpoint = rng.choice(group.endpoints)
    endpoint.lag_factor = 50.0

    def undo():
        endpoint.lag_factor = 1.0

    await _hold_fault(deployment, rng.uniform(1, 5), undo)


@fault
async def endpoint_replies_lost(deployment, rng):
    group = rng.choice(list(deployment.groups.values()))
    for endpoint in group.endpoints:
        endpoint.reply_loss_ratio = 0.04

    def undo():
        for endpoint in group.endpoints:
            endpoint.reply_loss_ratio = 0.0

    await _hold_fault(deployment, rng.uniform(1, 4), undo)


@fault
async def primary_replaced_by_planned_change(deployment, rng):
    group = rng.choice(list(deployment.groups.values()))
    endpoint = group.current_primary
    endpoint.draining = True
    for _ in range(40):
        await asyncio.sleep(0.2)
        if group.current_primary is not endpoint:
            break
    await asyncio.sleep(1)
    deployment.record_disruption()
    if endpoint.running:
        await endpoint.crash()
        await asyncio.sleep(0.3)
        await endpoint.start()


@fault
async def endpoint_slow(deployment, rng):
    group = rng.choice(list(deployment.groups.values()))
    endpoint = rng.choice(group.endpoints)
    endpoint.work_factor = 6.0

    def undo():
        endpoint.work_factor = 1.0

    await _hold_fault(deployment, rng.uniform(1, 5), undo)


@fault
async def configuration_changes(deployment, rng):
    for _ in range(rng.randrange(1, 5)):
        deployment.write_config()
        await asyncio.sleep(rng.uniform(0, 0.5))


async def restored(deployment, rng):
    """The store is down, then back from a copy that is some seconds old."""
    outage = rng.choice(["busy", "many", "reset", "silent"])
    age_s = rng.uniform(2, 15)
    stores = [vm.store.faults for vm in deployment.vms]
    for faults in stores:
        faults.outage = outage

    def undo():
        now = time.monotonic()
        deployment.table.restore(now - age_s)
        for name in (e.name for g in deployment.groups.values()
                     for e in g.endpoints):
            deployment.heartbeats_resume_at[name] = now + rng.uniform(0, 2)
        for faults in stores:
            faults.outage = None

    await _hold_fault(deployment, rng.uniform(1, 3), undo)
    await asyncio.sleep(rng.uniform(0, 2))
    deployment.rewrite_config()
    deployment.record_disruption()


async def run_restores(deployment, rng, seconds, on_fault_started):
    """Restores the store up to three times, beside the faults of a schedule.

    They are not among FAULTS, so that the schedules of all seeds stay the same.
    """
    for _ in range(rng.randrange(1, 4)):
        await asyncio.sleep(rng.uniform(0.5, seconds / 3))
        on_fault_started(restored.__name__)
        await restored(deployment, rng)


async def replica_deaf(deployment, rng):
    group = rng.choice(list(deployment.groups.values()))
    endpoint = rng.choice(group.endpoints)
    endpoint.deaf = True

    def undo():
        endpoint.deaf = False
        primary = group.current_primary
        if endpoint is not primary and primary.running:
            endpoint.become_replica_of(primary)

    await _hold_fault(deployment, rng.uniform(1, 6), undo)


async def status_refused(deployment, rng):
    group = rng.choice(list(deployment.groups.values()))
    endpoint = rng.choice(group.endpoints)
    endpoint.refuses_status = True

    def undo():
        endpoint.refuses_status = False

    await _hold_fault(deployment, rng.uniform(1, 6), undo)


async def replica_crashes(deployment, rng):
    group = rng.choice(list(deployment.groups.values()))
    endpoint = rng.choice(
        [e for e in group.endpoints if e is not group.current_primary])
    if endpoint.running:
        await endpoint.crash()
    await _hold_fault(deployment, rng.uniform(0.3, 5), lambda: None)
    if not endpoint.running:
        await endpoint.start()


async def run_replica_faults(deployment, rng, seconds, on_fault_started):
    """Starts faults of replicas, beside those of a schedule.

    They are not among FAULTS, so that the schedules of all seeds stay the same.
    """
    tasks = []
    elapsed = 0.0
    while elapsed < seconds:
        pause = rng.uniform(0.5, 2)
        await asyncio.sleep(pause)
        elapsed += pause
        function = rng.choice([replica_deaf, replica_deaf, status_refused,
                               replica_crashes, primary_crashes])
        on_fault_started(function.__name__)
        tasks.append(asyncio.create_task(
            function(deployment, random.Random(rng.random()))))
    await asyncio.gather(*tasks)


async def _replace_after(vm, seconds):
    await asyncio.sleep(seconds)
    if vm.is_running() and vm.stop_sent_at is None:
        await vm.terminate()
    await vm.start()


async def _restart_all_vms(deployment, rng):
    """Kills all VMs, once or twice in a row, or replaces them in turn."""
    pattern = rng.choice(["once", "twice", "in turn"])
    if pattern == "in turn":
        await asyncio.gather(
            *(_replace_after(vm, 0.4 * number)
              for number, vm in enumerate(deployment.vms)))
        return
    for _ in range(2 if pattern == "twice" else 1):
        await asyncio.gather(
            *(vm.kill() for vm in deployment.vms if vm.is_running()))
        await _hold_fault(deployment, rng.uniform(0.1, 2), lambda: None)
        await asyncio.gather(*(vm.start() for vm in deployment.vms))
        await asyncio.sleep(rng.uniform(0, 1.5))


async def _return_after(endpoint, seconds):
    await asyncio.sleep(seconds)
    if not endpoint.running:
        await endpoint.start()


async def vms_restarted_while_endpoints_are_down(deployment, rng):
    """The primary and a replica crash, and all VMs start again, often when the
    two have disappeared from the registry. One may be lost for good."""
    group = rng.choice(list(deployment.groups.values()))
    if any(endpoint.lost for endpoint in group.endpoints):
        return
    deployment.record_disruption()
    replicas = [e for e in group.endpoints if e is not group.current_primary]
    holder, other = rng.sample(replicas, 2)
    other.deaf = True
    await asyncio.sleep(rng.uniform(0.05, 0.3))
    crashed = [e for e in (group.current_primary, holder) if e.running]
    await asyncio.gather(*(endpoint.crash() for endpoint in crashed))
    other.deaf = False
    if crashed and rng.random() < 0.3:
        lost = crashed.pop(rng.randrange(len(crashed)))
        lost.lost = True
    down_s = rng.uniform(3, 9)
    returns = [asyncio.create_task(
        _return_after(e, down_s + rng.uniform(0, 2))) for e in crashed]
    await asyncio.sleep(rng.uniform(0, 2.5))
    await _restart_all_vms(deployment, rng)
    await asyncio.gather(*returns)
    deployment.record_disruption()


async def run_restarts(deployment, rng, seconds, on_fault_started):
    """Restarts all VMs while endpoints are down, beside the faults of a
    schedule.

    They are not among FAULTS, so that the schedules of all seeds stay the same.
    """
    tasks = []
    elapsed = 0.0
    while elapsed < seconds:
        pause = rng.uniform(1, 6)
        await asyncio.sleep(pause)
        elapsed += pause
        on_fault_started(vms_restarted_while_endpoints_are_down.__name__)
        tasks.append(asyncio.create_task(
            vms_restarted_while_endpoints_are_down(
                deployment, random.Random(rng.random()))))
    await asyncio.gather(*tasks)


async def answers_faulty(deployment, rng):
    endpoints = [e for g in deployment.groups.values() for e in g.endpoints]
    chosen = []
    for endpoint in rng.sample(endpoints, rng.randrange(1, len(endpoints))):
        faults = AnswerFaults(random.Random(rng.random()),
                              deployment.record_faulty_answer)
        endpoint.answer_faults.append(faults)
        chosen.append((endpoint, faults))

    def undo():
        for endpoint, faults in chosen:
            endpoint.answer_faults.remove(faults)

    await _hold_fault(deployment, rng.uniform(0.5, 6), undo)


async def run_answer_faults(deployment, rng, seconds, on_fault_started):
    """Switches endpoints with faulty answers on and off, beside the faults of
    a schedule.

    They are not among FAULTS, so that the schedules of all seeds stay the same.
    """
    tasks = []
    elapsed = 0.0
    while elapsed < seconds:
        pause = rng.uniform(0.3, 2.5)
        await asyncio.sleep(pause)
        elapsed += pause
        on_fault_started(answers_faulty.__name__)
        tasks.append(asyncio.create_task(
            answers_faulty(deployment, random.Random(rng.random()))))
    await asyncio.gather(*tasks)


async def run_schedule(deployment, rng, seconds, on_fault_started):
    """Starts faults for the given time; returns when all are undone."""
    tasks = []
    elapsed = 0.0
    while elapsed < seconds:
        pause = rng.uniform(0.2, 2.5)
        await asyncio.sleep(pause)
        elapsed += pause
        function = rng.choice(FAULTS)
        on_fault_started(function.__name__)
        tasks.append(asyncio.create_task(
            function(deployment, random.Random(rng.random()))))
    await asyncio.gather(*tasks)
