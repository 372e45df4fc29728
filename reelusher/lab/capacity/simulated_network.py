"""The network between the simulated nodes: zones and regions, delays, losses and the sizes of headers."""

ZONES, REGIONS = 17, 7
# one-way delays within a zone, and between two zones of a region
SAME_ZONE_DELAY_S, SAME_REGION_DELAY_S = 0.0005, 0.002
REGION_DELAY_RANGE_S = 0.01, 0.1  # one-way delays between the two closest and the two furthest regions
DELAY_JITTER = 0.2  # fraction by which a delay may exceed its minimum
# fraction of datagrams lost, and of legs of an exchange delayed by a TCP retransmission; of legs whose frame
# fills n segments, 1 + n / 10 times as many are delayed
LOSS = 0.02
RETRANSMISSION_S = 0.2  # until TCP retransmits a lost segment
UDP_HEADER_BYTES = 28  # bytes of the IP and UDP headers of a datagram
TCP_SEGMENT_BYTES = 1448  # bytes of payload in one TCP packet
TCP_HEADER_BYTES = 52  # bytes of the IP and TCP headers of a packet
HANDSHAKE_PACKETS = 6  # packets without data that open and close a connection, in both directions


def region_of(zone: int) -> int:
    """Return the region of a zone; each region has two or three zones."""
    return zone % REGIONS


def one_way_delays() -> list[list[float]]:
    """Return the one-way delays in seconds between each two zones; the regions lie on a line."""
    step = (REGION_DELAY_RANGE_S[1] - REGION_DELAY_RANGE_S[0]) / (REGIONS - 2)

    def delay(zone_a: int, zone_b: int) -> float:
        if zone_a == zone_b:
            return SAME_ZONE_DELAY_S
        distance = abs(region_of(zone_a) - region_of(zone_b))
        return REGION_DELAY_RANGE_S[0] + (distance - 1) * step if distance else SAME_REGION_DELAY_S

    return [[delay(zone_a, zone_b) for zone_b in range(ZONES)] for zone_a in range(ZONES)]
