package shelffront.lab.simulation;

import java.util.HashMap;
import java.util.Map;

/**
 * When each gateway was told by a former primary that it is a replica now. Before that no rule on
 * freshness binds a read there: the gateway had to take the host for the primary that it was.
 */
final class RoleAnnouncements {

  /** What a host says of its role counts as known so long after it was written. */
  private static final long PROPAGATION_MICROS = 100_000;

  private static final long NOT_ANNOUNCED = Long.MAX_VALUE - PROPAGATION_MICROS;

  private record Key(int gateway, String host) {}

  private final Map<Key, Long> announcedAtMicros = new HashMap<>();

  /** A host has lost the role of primary; no gateway has been told. */
  void demoted(String host, int gatewayCount) {
    for (int gateway = 0; gateway < gatewayCount; gateway++) {
      announcedAtMicros.put(new Key(gateway, host), NOT_ANNOUNCED);
    }
  }

  /** A host has written to a gateway that it is a replica; the first time counts. */
  void announced(int gateway, String host, long nowMicros) {
    announcedAtMicros.computeIfPresent(
        new Key(gateway, host), (key, atMicros) -> Math.min(atMicros, nowMicros));
  }

  /** From when on a gateway must know that a host is no longer the primary. */
  long knownAtMicros(int gateway, String host) {
    return announcedAtMicros.getOrDefault(new Key(gateway, host), 0L) + PROPAGATION_MICROS;
  }
}
