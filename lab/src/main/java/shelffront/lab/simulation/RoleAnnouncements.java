package shelffront.lab.simulation;

import java.util.HashMap;
import java.util.Map;

/**
 * Records when each gateway learned from a former primary that it has become a replica. Until then
 * the freshness rules do not apply to reads at this host, because the gateway could not know that
 * it is no longer the primary.
 */
final class RoleAnnouncements {

  /** Time after which a role that a host has sent counts as known to the gateway. */
  private static final long PROPAGATION_MICROS = 100_000;

  private static final long NOT_ANNOUNCED = Long.MAX_VALUE - PROPAGATION_MICROS;

  private record Key(int gateway, String host) {}

  private final Map<Key, Long> announcedAtMicros = new HashMap<>();

  /** Records that a host has lost the primary role and that no gateway knows it yet. */
  void demoted(String host, int gatewayCount) {
    for (int gateway = 0; gateway < gatewayCount; gateway++) {
      announcedAtMicros.put(new Key(gateway, host), NOT_ANNOUNCED);
    }
  }

  /** Records that a host has sent its replica role to a gateway; the first time counts. */
  void announced(int gateway, String host, long nowMicros) {
    announcedAtMicros.computeIfPresent(
        new Key(gateway, host), (key, atMicros) -> Math.min(atMicros, nowMicros));
  }

  /** Returns the time from which a gateway must know that a host is no longer the primary. */
  long knownAtMicros(int gateway, String host) {
    return announcedAtMicros.getOrDefault(new Key(gateway, host), 0L) + PROPAGATION_MICROS;
  }
}
