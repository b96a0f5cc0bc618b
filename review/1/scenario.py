"""One crash of one server counts as three, and turns with the same input are refused from then on."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import standins as s

FOLDER = pathlib.Path(__file__).resolve().parent
SAME_INPUT = b"go on"
SUB_AGENTS = 3
READING_S = 1.2
BACK_AFTER_S = 3.0
TURNS, TRIES, PAUSE_S = 5, 6, 8.0
AIM_S = 100.0


async def scenario(world):
    reading = {}
    is_reading_slowly = False

    async def behave(server, request, writer):
        if is_reading_slowly and request.body.endswith(SAME_INPUT):
            # The prompts are being read. No token has been generated yet, so none of them has begun to run.
            reading.setdefault(server, []).append(request.id)
            await asyncio.sleep(READING_S)
        await s.stream_events(request, writer, 6)

    for zone in world.zones:
        for _ in range(2):
            await s.Server(world, "quill-models", zone, behave).start()
    world.manifest([
        s.route("chat", "/chat/", "streaming", "quill-models", **{
            "max-attempts": 1, "resumable": False, "stateful": True, "retention-s": 120.0,
            "gap-target-ms": 200}),
    ], [s.engine_service()])
    await world.start_hosts()
    began = world.record.now()

    async def turn(host, body, session, **more):
        left_ms = int((began + AIM_S - world.record.now()) * 1000)
        return await world.call(
            host, "POST", "/chat/7a", body, model_id="m", token_count="1186,80",
            program_id="3fa81c", session_id=session, program_deadline_ms=left_ms,
            prefix_hash=f"5c1e07a2:512,91bd3f06:654,{session}:20", **more)

    first = await turn(world.hosts[0], b"three ways to draw a bride", "77d20b")
    if not first.is_served:
        raise RuntimeError("the first turn was not served")

    # Sub-agents continue the turn at the same time, with the same words.
    is_reading_slowly = True
    agents = [
        asyncio.create_task(
            turn(world.hosts[0], SAME_INPUT, f"77d2{number}1", previous_turn=first.id))
        for number in range(SUB_AGENTS)
    ]
    for _ in range(10):
        await asyncio.sleep(READING_S / 12)
        if sum(map(len, reading.values())) == SUB_AGENTS:
            break
    busiest = max(reading, key=lambda server: len(reading[server]))
    world.record.line(f"sub-agents' turns at server {busiest.id}: {reading[busiest]}")
    if len(reading[busiest]) < SUB_AGENTS:
        raise RuntimeError("the turns are not at one server")
    if s.trouble():
        asyncio.create_task(busiest.crash_and_return(BACK_AFTER_S))
    await asyncio.gather(*agents)
    is_reading_slowly = False
    await asyncio.sleep(BACK_AFTER_S + s.CONTACT_S + 1)

    world.record.line("the server has been back for longer than contact-ms")
    unserved, begun = 0, 0
    for number in range(TURNS):
        # A turn has two client attempts, and is sent again from its start twice, after 0.1 to 0.4 s.
        before = sum(len(server.runs) for server in world.servers)
        for attempt in range(TRIES):
            host = world.hosts[(number + attempt) % len(world.hosts)]
            again = await turn(host, SAME_INPUT, f"77d2{number:x}9", previous_turn=first.id)
            if again.is_served:
                break
            await asyncio.sleep(0.25)
        reached = sum(len(server.runs) for server in world.servers) - before
        unserved += reached == 0
        world.record.line(f"a turn that continues one answered whole: {attempt + 1} tries, {reached} reached a server")
        new = await turn(host, b"a new one %d" % number, f"88d2{number:x}1")
        begun += new.is_served
        await asyncio.sleep(PAUSE_S)
    world.record.line(f"first turns served: {begun} of {TURNS}")
    world.record.line(f"turns that reached no server in {TRIES} tries: {unserved} of {TURNS}")
    return unserved == 0 or begun < 0.9 * TURNS


s.run(FOLDER, scenario)
