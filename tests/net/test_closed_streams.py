"""What a peer sent before it closed its connection has no effect on the peer's next one."""

from support.service_harness import HELLO, Client, RunningService, run_scenario

from plankroute.events import events

DEMAND = "demand node=3 route=lookup total=1 errors=0 interval=1000"


async def is_joined(running: RunningService, client: Client) -> bool:
    """Returns whether a client's connection is its proxy's session, which still answers."""
    client.send("probe")
    await client.receive("alive")
    session = running.service.listener.sessions.by_proxy.get(3)
    return session is not None and not session.is_closing()


# A hello that was delayed on an earlier connection replaced the proxy's present session, which the
# controller then closed.
def test_a_delayed_hello_of_an_earlier_connection_does_not_replace_the_session() -> None:
    async def scenario(running: RunningService) -> None:
        earlier = await running.connect()
        earlier.writer.write(HELLO[:20].encode())
        await running.wait_until(lambda: running.counts["received.bytes"] == 20)
        present = await running.connect(HELLO)
        await present.receive("replace=1")
        earlier.writer.write(HELLO[20:].encode() + b"\r\n" + DEMAND.encode() + b"\r\n")
        earlier.writer.close()
        await running.wait_until(lambda: len(running.service.listener.table.connections) == 1)
        assert await is_joined(running, present)
        assert running.counts["received.demand"] == 0

    run_scenario(scenario)


def test_lines_of_a_closed_stream_have_no_effect_after_the_next_stream_has_joined() -> None:
    async def scenario(running: RunningService) -> None:
        submitted = list[events.Event]()
        submit = running.service.listener.submit
        running.service.listener.submit = running.service.listener.sessions.submit = lambda event: (
            submitted.append(event),
            submit(event),
        )[1]
        closed = await running.connect(HELLO)
        await closed.receive("replace=1")
        closed.send(*[DEMAND] * 20_000)
        closed.writer.close()
        present = await running.connect(HELLO.replace("cold=1", "cold=0"))
        await present.receive("replace=1")
        await running.wait_until(lambda: len(running.service.listener.table.connections) == 1)
        assert await is_joined(running, present)
        joined_again = max(
            at for at, event in enumerate(submitted) if isinstance(event, events.ProxyJoined)
        )
        assert [type(event) for event in submitted[joined_again:]].count(events.ProxyLeft) == 0
        assert not any(
            isinstance(event, events.ProxyRequestStats) for event in submitted[joined_again:]
        )
        assert sum(isinstance(event, events.ProxyJoined) for event in submitted) == 2

    run_scenario(scenario)


def test_a_peer_that_leaves_with_much_unread_leaves_no_session_behind() -> None:
    async def scenario(running: RunningService) -> None:
        for _ in range(20):
            peer = await running.connect(HELLO, *[DEMAND] * 1000)
            peer.writer.transport.abort()
        await running.wait_until(
            lambda: (
                running.counts["received.connections"] == 20
                and not running.service.listener.table.connections
            )
        )
        sessions = running.service.listener.sessions
        assert not sessions.by_proxy and not sessions.joined and not sessions.hellos
        await (await running.connect(HELLO)).receive("replace=1")

    run_scenario(scenario)
