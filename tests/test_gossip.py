"""Tests of gossip membership, on virtual time."""

import asyncio
import unittest

from bench import fake_links
from bench import gossip_fleet
from bench import virtual_loop
from fuchsiacourse import fleet_pb2
from fuchsiacourse import gossip_codec
from fuchsiacourse import member as member_rows

State = member_rows.State

# Stated bounds: seconds until a change is known everywhere, and control
# traffic of a member in bytes per second.
KNOWN_WITHIN_S = 5.0
BYTES_PER_S = 3_000

LOSSY = {"delay_s": 0.004, "spread_s": 0.008, "loss": 0.02}


def fleet_of(size: int, *, seed: int = 1, **link) -> gossip_fleet.GossipFleet:
    """Returns a fleet whose links lose and reorder some packets."""
    options = {**LOSSY, **link}
    return gossip_fleet.GossipFleet(
        size=size, seed=seed, link=fake_links.Link(**options)
    )


class GossipTest(unittest.TestCase):
    """The member table must match the fleet within the stated bounds."""

    def run_fleet(self, scenario, size, **options) -> None:
        async def main():
            fleet = fleet_of(size, **options)
            await fleet.join()
            await asyncio.sleep(5)
            await scenario(fleet)
            for node in fleet.nodes:
                self.assertEqual([], node.errors)
                largest = fleet.network.largest_by_source
                self.assertLess(largest[node.row.gossip_address], 1300)
            fleet.close()

        virtual_loop.run(main())

    async def assert_known(self, fleet, observers, subjects, state) -> None:
        await fleet.wait_until(
            lambda: gossip_fleet.all_hold(observers, subjects, state),
            timeout_s=KNOWN_WITHIN_S,
        )

    def test_join_is_known_everywhere_without_the_platform(self):
        """Guards against a new member missing from some member tables."""

        async def scenario(fleet):
            node = fleet.new_node(40)
            node.gossip.start()
            await self.assert_known(fleet, fleet.nodes, [node], State.ALIVE)
            await self.assert_known(fleet, [node], fleet.nodes, State.ALIVE)
            fleet.nodes.append(node)

        self.run_fleet(scenario, 40)

    def test_leave_is_known_and_final(self):
        """Guards against a stale record reviving a member that left."""

        async def scenario(fleet):
            leaver, *others = fleet.nodes
            leaver.gossip.announce(State.LEAVING)
            await self.assert_known(fleet, others, [leaver], State.LEAVING)
            leaver.gossip.announce(State.LEFT, successor=others[0].id)
            leaver.kill()
            await self.assert_known(fleet, others, [leaver], State.LEFT)
            record = gossip_codec.record_of(
                leaver.row, state=State.ALIVE, complete=True, now_s=0.0
            )
            record.sequence += 5
            others[3].gossip.transport.send(
                others[2].row.gossip_address,
                fleet_pb2.GossipPacket.PUSH,
                records=[record],
            )
            await asyncio.sleep(20)
            self.assertTrue(
                gossip_fleet.all_hold(others, [leaver], State.LEFT)
            )
            for other in others:
                row = other.members.by_id[leaver.id]
                self.assertEqual(others[0].id, row.successor)

        self.run_fleet(scenario, 20)

    def test_crashes_are_known_everywhere(self):
        """Guards against slow failure detection, also of half the fleet."""

        async def scenario(fleet):
            victim, *others = fleet.nodes
            victim.kill()
            await self.assert_known(fleet, others, [victim], State.DEAD)
            victims, others = others[::2], others[1::2]
            for node in victims:
                node.kill()
            await self.assert_known(fleet, others, victims, State.DEAD)
            self.assertTrue(gossip_fleet.all_hold(others, others, State.ALIVE))

        for seed in (1, 2):
            self.run_fleet(scenario, 40, seed=seed)

    def test_leaving_member_that_crashes_is_found_dead(self):
        """Guards against a crashed member staying in the leaving state."""

        async def scenario(fleet):
            victim, *others = fleet.nodes
            victim.gossip.announce(State.LEAVING)
            await self.assert_known(fleet, others, [victim], State.LEAVING)
            seen = set()
            others[0].members.subscribe(lambda row: seen.add(row.state))
            victim.kill()
            await self.assert_known(fleet, others, [victim], State.DEAD)
            self.assertNotIn(State.ALIVE, seen)

        self.run_fleet(scenario, 10, loss=0.0)

    def test_one_way_link_cut_causes_no_suspicion(self):
        """Guards against suspicion on the evidence of one broken link."""

        async def scenario(fleet):
            suspected = []
            for node in fleet.nodes:
                node.members.subscribe(
                    lambda row: (
                        suspected.append(row.id)
                        if row.state is not State.ALIVE
                        else None
                    )
                )
            fleet.links.cut(fleet.nodes[3].ip, fleet.nodes[7].ip)
            await asyncio.sleep(120)
            self.assertEqual([], suspected)

        self.run_fleet(scenario, 12, loss=0.0)

    def test_regions_merge_after_partition(self):
        """Guards against regions that stay separate after a link failure.

        No member may take members of its own region out of use meanwhile.
        """
        self.run_fleet(self.partition_scenario(60), 24, loss=0.0)

    def test_regions_merge_after_an_hour_of_partition(self):
        """Guards against forgetting the other region during a long cut."""
        self.run_fleet(self.partition_scenario(3600), 4, loss=0.0)

    def partition_scenario(self, partition_s):
        async def scenario(fleet):
            fleet.set_region_cut(True)
            await asyncio.sleep(partition_s)
            sides = {}
            for node in fleet.nodes:
                sides.setdefault(node.row.region, []).append(node)
            one, other = sides.values()
            self.assertTrue(gossip_fleet.all_hold(one, other, State.DEAD))
            unused = []
            for node in fleet.nodes:
                node.members.subscribe(
                    lambda row, home=node.row.region: (
                        unused.append(row.id)
                        if row.region == home and row.state is not State.ALIVE
                        else None
                    )
                )
            fleet.set_region_cut(False)
            await fleet.wait_until(
                lambda: gossip_fleet.all_hold(
                    fleet.nodes, fleet.nodes, State.ALIVE
                ),
                timeout_s=30,
            )
            self.assertEqual([], unused)

        return scenario

    def test_resumed_member_refutes_its_death(self):
        """Guards against resumed members that stay dead or suspect others."""

        async def scenario(fleet):
            paused, *others = fleet.nodes
            paused.gate.pause()
            await self.assert_known(fleet, others, [paused], State.DEAD)
            await asyncio.sleep(20)
            suspected = []
            paused.members.subscribe(
                lambda row: (
                    suspected.append(row.id)
                    if row.state is not State.ALIVE
                    else None
                )
            )
            paused.gate.resume()
            await fleet.wait_until(
                lambda: gossip_fleet.all_hold(others, [paused], State.ALIVE),
                timeout_s=20,
            )
            self.assertEqual([], suspected)
            self.assertGreater(paused.row.sequence, 0)

        self.run_fleet(scenario, 12, loss=0.0)

    def test_replaced_process_is_dead_at_once(self):
        """Guards against waiting for probes when an address is reused."""

        async def scenario(fleet):
            old = fleet.nodes[4]
            old.gossip.close()
            old.timers.close()
            new = fleet.new_node(4)
            new.row.id = f"{int(old.id, 16) + 1:016x}"
            new.members.by_id = {new.row.id: new.row}
            new.gossip.start()
            fleet.nodes[4] = new
            await fleet.wait_until(
                lambda: gossip_fleet.all_hold(
                    fleet.nodes[:4], [old], State.DEAD
                ),
                timeout_s=1.5,
            )

        self.run_fleet(scenario, 10, loss=0.0)

    def test_forged_and_malformed_packets_change_nothing(self):
        """Guards against accepting packets from outside the deployment."""

        async def scenario(fleet):
            victim = fleet.nodes[0]
            stranger = fleet.new_node(9, deployment_key="another deployment")
            stranger.gossip.start()
            attacker = fleet.network.endpoint("10.9.9.9:7000")
            record = fleet_pb2.MemberRecord(
                id=fleet.nodes[1].id, state=fleet_pb2.DEAD, sequence=9
            )
            packet = fleet_pb2.GossipPacket(
                kind=fleet_pb2.GossipPacket.PUSH,
                sender=fleet.nodes[2].id,
                sender_address="10.9.9.9:7000",
                updates=[record],
            )
            codec = gossip_codec.GossipCodec(
                deployment_key=gossip_fleet.DEPLOYMENT_KEY
            )
            signed = codec.encode(packet)
            unsigned = fleet_pb2.SignedPacket(
                payload=packet.SerializeToString()
            )
            bad_sender = fleet_pb2.GossipPacket()
            bad_sender.CopyFrom(packet)
            bad_sender.sender = "nobody"
            bad_record = fleet_pb2.GossipPacket()
            bad_record.CopyFrom(packet)
            bad_record.updates[0].state = 99
            for payload in (
                b"",
                b"\xff" * 40,
                signed[:-1],
                signed[:20] + b"\0" + signed[21:],
                unsigned.SerializeToString(),
                codec.encode(bad_sender),
                codec.encode(bad_record),
                signed + b"\0" * 1300,
            ):
                attacker.send(victim.row.gossip_address, payload)
            await asyncio.sleep(5)
            dropped = victim.gossip.transport.dropped_by_reason
            self.assertGreaterEqual(sum(dropped.values()), 8)
            self.assertTrue(
                gossip_fleet.all_hold(fleet.nodes, fleet.nodes, State.ALIVE)
            )
            for node in fleet.nodes:
                self.assertNotIn(stranger.id, node.members.by_id)
            stranger.kill()

        self.run_fleet(scenario, 8, loss=0.0)

    def test_config_number_is_shown_by_packets(self):
        """Guards against a configuration number that misses some members."""

        async def scenario(fleet):
            seen = set()
            for node in fleet.nodes:
                node.gossip.on_config_number(
                    lambda number, row, node=node: (
                        seen.add((node.id, number)),
                        node.gossip.set_config_number(number),
                    )
                )
            fleet.nodes[0].gossip.set_config_number(7)
            fleet.nodes[0].gossip.set_config_number(6)
            await fleet.wait_until(
                lambda: len(seen) == len(fleet.nodes) - 1,
                timeout_s=KNOWN_WITHIN_S,
            )
            self.assertEqual({7}, {number for _, number in seen})
            await asyncio.sleep(15)
            for node in fleet.nodes:
                for row in node.members.by_id.values():
                    self.assertEqual(7, row.config_number)

        self.run_fleet(scenario, 40)

    def test_large_table_is_exchanged_in_small_packets(self):
        """Guards against packets above the size that UDP carries unfragmented.

        Every packet of the run must stay below 1300 bytes.
        """

        async def scenario(fleet):
            for index in range(600):
                row = member_rows.Member(
                    id=f"{index:016x}",
                    role="dispatch",
                    host="10.7.0.1",
                    availability_zone="z" * 60,
                    region="r" * 60,
                    gossip_address=f"10.7.0.1:{index + 1}",
                    rpc_address="10.7.0.1:1",
                    state=State.LEFT,
                )
                fleet.nodes[0].members.by_id[row.id] = row
            await fleet.wait_until(
                lambda: all(
                    len(node.members.by_id) == 604 for node in fleet.nodes
                ),
                timeout_s=600,
            )

        self.run_fleet(scenario, 4)

    def test_traffic_stays_within_the_budget(self):
        """Guards against control traffic above 3 KB/s per member."""

        async def scenario(fleet):
            await asyncio.sleep(5)
            before = {node.id: node.wire_bytes for node in fleet.nodes}
            await asyncio.sleep(15)
            rates = [
                (node.wire_bytes - before[node.id]) / 15
                for node in fleet.nodes
            ]
            print(
                "figure=gossip_bytes_per_s members=80"
                f" mean={sum(rates) / len(rates):.0f} max={max(rates):.0f}"
                f" bound={BYTES_PER_S}"
            )
            self.assertLessEqual(max(rates), BYTES_PER_S)

        self.run_fleet(scenario, 80)
