package shelffront.controlplane;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.distribution.DistributionTimings;
import shelffront.distribution.DistributorEndpoint;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * How a gateway, or a distributor that follows others, takes part in distribution; times are
 * microseconds.
 *
 * @param name of this process, its own in the fleet
 * @param fleet under which the engine keeps the records
 * @param distributors those that may be followed; empty where the engine is followed itself
 * @param engineAddress where the engine's agent answers, null where this process neither follows
 *     nor changes anything there
 * @param lastKnownGoodFile the file that keeps what is in force; null where there is no disk
 * @param staleAfterMicros a distributor whose view is older is left for another
 * @param maxAgeMicros of a view; an older one is an error
 */
public record SubscribedRecordsConfig(
    String name,
    String fleet,
    String region,
    String zone,
    List<DistributorEndpoint> distributors,
    InetSocketAddress engineAddress,
    Path lastKnownGoodFile,
    DistributionTimings timings,
    long staleAfterMicros,
    long maxAgeMicros) {

  private static final Set<String> NAMES =
      Set.of(
          "name",
          "fleet",
          "region",
          "zone",
          "distributors",
          "engine",
          "lastKnownGood",
          "staleAfterMs",
          "greatestAgeMs");
  private static final Set<String> ENDPOINT_NAMES = Set.of("address", "region", "zone");
  private static final long MS = 1000;

  /** Beyond the age that a view has while nothing fails. */
  private static final long STALE_AFTER_MS = 6_000;

  private static final long GREATEST_AGE_MS = 14_000;

  /** Throws with the pointer to the first field at fault, below the one given. */
  public static SubscribedRecordsConfig read(JsonNode o, String at) throws SpecException {
    if (!o.isObject()) {
      throw new SpecException(at, "is not an object");
    }
    TenantSpecCodec.onlyFields(o, at, NAMES);
    List<DistributorEndpoint> distributors = new ArrayList<>();
    for (JsonNode each : o.path("distributors")) {
      String here = at + "/distributors/" + distributors.size();
      TenantSpecCodec.onlyFields(each, here, ENDPOINT_NAMES);
      address(each, here + "/address", "address");
      distributors.add(
          new DistributorEndpoint(
              each.path("address").asText(),
              name(each, here, "region", ""),
              name(each, here, "zone", "")));
    }
    InetSocketAddress engine = o.has("engine") ? address(o, at + "/engine", "engine") : null;
    if (distributors.isEmpty() && engine == null) {
      throw new SpecException(at + "/distributors", "names nobody to follow");
    }
    return new SubscribedRecordsConfig(
        name(o, at, "name", null),
        name(o, at, "fleet", null),
        name(o, at, "region", ""),
        name(o, at, "zone", ""),
        List.copyOf(distributors),
        engine,
        o.has("lastKnownGood") ? Path.of(o.path("lastKnownGood").asText()) : null,
        DistributionTimings.STANDARD,
        millis(o, at, "staleAfterMs", STALE_AFTER_MS),
        millis(o, at, "greatestAgeMs", GREATEST_AGE_MS));
  }

  private static String name(JsonNode o, String at, String field, String absent)
      throws SpecException {
    JsonNode value = o.path(field);
    if (value.isMissingNode() && absent != null) {
      return absent;
    }
    if (!value.asText().matches(TenantSpecCodec.NAME)) {
      throw new SpecException(
          at + "/" + field, "is not a name of letters, digits, dots and dashes");
    }
    return value.asText();
  }

  private static long millis(JsonNode o, String at, String field, long absent)
      throws SpecException {
    long value = o.path(field).asLong(absent);
    if (value * MS < DistributionTimings.STANDARD.maxHealthyAgeMicros() || value > 3_600_000) {
      throw new SpecException(
          at + "/" + field,
          "is not from "
              + DistributionTimings.STANDARD.maxHealthyAgeMicros() / MS
              + " to 3600000 milliseconds");
    }
    return value * MS;
  }

  private static InetSocketAddress address(JsonNode o, String pointer, String field)
      throws SpecException {
    try {
      return GatewayConfig.parseAddress(o.path(field).asText());
    } catch (MalformedInputException | IllegalArgumentException e) {
      throw new SpecException(pointer, "is not an address host:port");
    }
  }
}
