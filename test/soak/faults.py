"""Faults, drawn from a seed: kinds in series that overlap."""

import asyncio
import random
import signal

FAULTS = []


def fault(function):
    FAULTS.append(function)
    return function


async def _while(world, seconds, undo):
    """Keeps a fault for a time, then undoes it."""
    steps = max(1, int(seconds / 0.25))
    for _ in range(steps):
        world.disrupt()
        await asyncio.sleep(seconds / steps)
    undo()
    world.disrupt()


@fault
async def vm_killed(world, rng):
    vm = rng.choice(world.vms)
    if vm.running():
        await vm.kill()
    await _while(world, rng.uniform(0.1, 2), lambda: None)
    await vm.start()


@fault
async def holder_killed(world, rng):
    duty = world.table.objects.get(("carawayhaven", "duty"))
    name = duty["spec"].get("holder") if duty else None
    vm = next((v for v in world.vms if v.name == name), world.vms[0])
    if vm.running():
        await vm.kill()
    await _while(world, rng.uniform(0.1, 2), lambda: None)
    await vm.start()


@fault
async def vm_stopped_as_planned(world, rng):
    for vm in rng.sample(world.vms, rng.randrange(1, 3)):
        if vm.running() and vm.stop_sent_at is None:
            if not await vm.terminate():
                world.promises.found("DRAIN", f"{vm.name} did not stop in "
                                     f"its time of grace")
            await asyncio.sleep(0.3)
            await vm.start()


@fault
async def vm_paused(world, rng):
    vm = rng.choice(world.vms)
    vm.send(signal.SIGSTOP)
    await _while(world, rng.uniform(0.3, 4),
                 lambda: vm.send(signal.SIGCONT))


@fault
async def many_killed(world, rng):
    vms = rng.sample(world.vms, rng.randrange(2, len(world.vms) + 1))
    await asyncio.gather(*(vm.kill() for vm in vms if vm.running()))
    await _while(world, rng.uniform(0.1, 1), lambda: None)
    await asyncio.gather(*(vm.start() for vm in vms))


@fault
async def vm_told_to_reload(world, rng):
    for vm in world.vms:
        vm.send(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0, 0.2))


@fault
async def store_down(world, rng):
    how = rng.choice(["busy", "many", "reset", "silent"])
    count = rng.choice([1, 2, len(world.vms)])
    stores = [vm.store.faults for vm in rng.sample(world.vms, count)]
    for faults in stores:
        faults.down = how

    def undo():
        for faults in stores:
            faults.down = None

    await _while(world, rng.uniform(0.5, 5), undo)


@fault
async def store_loses_answers(world, rng):
    late = rng.choice([0.0, 4.0])
    for vm in world.vms:
        vm.store.faults.lose, vm.store.faults.late_s = 0.35, late

    def undo():
        for vm in world.vms:
            vm.store.faults.lose = vm.store.faults.late_s = 0.0

    await _while(world, rng.uniform(1, 4), undo)


@fault
async def store_slow(world, rng):
    for vm in world.vms:
        vm.store.faults.delay_s = rng.uniform(0.1, 0.4)

    def undo():
        for vm in world.vms:
            vm.store.faults.delay_s = 0.0

    await _while(world, rng.uniform(1, 4), undo)


@fault
async def store_forgets(world, _rng):
    world.table.forget_history()


@fault
async def primary_crashes(world, rng):
    endpoint = rng.choice(list(world.groups.values())).leader
    if endpoint.running:
        await endpoint.crash()
    await _while(world, rng.uniform(0.3, 6), lambda: None)
    if not endpoint.running:
        await endpoint.start()


def _links(world, rng, primary):
    group = rng.choice(list(world.groups.values()))
    endpoint = group.leader if primary else rng.choice(group.endpoints)
    count = rng.choice([1, len(world.vms) // 2, len(world.vms)])
    vms = rng.sample(world.vms, max(1, count))
    return endpoint, [world.links[vm.name, endpoint.name] for vm in vms]


@fault
async def endpoint_cut(world, rng):
    endpoint, links = _links(world, rng, rng.random() < 0.7)
    cuts = rng.choice([("cut_to_server",), ("cut_to_client",),
                       ("cut_to_server", "cut_to_client")])
    endpoint.isolated = rng.random() < 0.5
    for link in links:
        for cut in cuts:
            setattr(link.state, cut, True)

    def undo():
        endpoint.isolated = False
        for link in links:
            link.state.cut_to_server = link.state.cut_to_client = False
            link.reset_all()

    await _while(world, rng.uniform(0.5, 6), undo)
    if endpoint.group.leader is not endpoint:
        endpoint.follow(endpoint.group.leader)


@fault
async def connections_reset(world, rng):
    world.disrupt()
    for link in world.links.values():
        if rng.random() < 0.4:
            link.reset_all()


@fault
async def connections_silenced(world, rng):
    world.disrupt()
    for link in world.links.values():
        if rng.random() < 0.4:
            link.silence_all()


@fault
async def links_slow(world, rng):
    _, links = _links(world, rng, False)
    for link in links:
        link.state.delay_s = rng.uniform(0.05, 0.6)

    def undo():
        for link in links:
            link.state.delay_s = 0.0

    await _while(world, rng.uniform(1, 4), undo)


@fault
async def replica_behind(world, rng):
    group = rng.choice(list(world.groups.values()))
    endpoint = rng.choice(group.endpoints)
    endpoint.lag_factor = 50.0

    def undo():
        endpoint.lag_factor = 1.0

    await _while(world, rng.uniform(1, 5), undo)


@fault
async def answers_lost(world, rng):
    group = rng.choice(list(world.groups.values()))
    for endpoint in group.endpoints:
        endpoint.lose_answers = 0.04

    def undo():
        for endpoint in group.endpoints:
            endpoint.lose_answers = 0.0

    await _while(world, rng.uniform(1, 4), undo)


@fault
async def primary_replaced_as_planned(world, rng):
    group = rng.choice(list(world.groups.values()))
    endpoint = group.leader
    endpoint.draining = True
    for _ in range(40):
        await asyncio.sleep(0.2)
        if group.leader is not endpoint:
            break
    await asyncio.sleep(1)
    world.disrupt()
    if endpoint.running:
        await endpoint.crash()
        await asyncio.sleep(0.3)
        await endpoint.start()


@fault
async def endpoint_slow(world, rng):
    group = rng.choice(list(world.groups.values()))
    endpoint = rng.choice(group.endpoints)
    endpoint.work_factor = 6.0

    def undo():
        endpoint.work_factor = 1.0

    await _while(world, rng.uniform(1, 5), undo)


@fault
async def configuration_changes(world, rng):
    for _ in range(rng.randrange(1, 5)):
        world.write_config()
        await asyncio.sleep(rng.uniform(0, 0.5))


async def run_schedule(world, rng, seconds, note):
    """Plays faults until the time is over; returns when all are undone."""
    tasks = []
    elapsed = 0.0
    while elapsed < seconds:
        pause = rng.uniform(0.2, 2.5)
        await asyncio.sleep(pause)
        elapsed += pause
        chosen = rng.choice(FAULTS)
        note(chosen.__name__)
        tasks.append(asyncio.create_task(
            chosen(world, random.Random(rng.random()))))
    await asyncio.gather(*tasks)
