package shelffront.controlplane;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.distribution.DistributionTimings;
import shelffront.distribution.DistributorEndpoint;
import shelffront.distribution.DistributorSelector;
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

  private static final Set<String> FIELDS =
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
  private static final Set<String> ENDPOINT_FIELDS = Set.of("address", "region", "zone");
  private static final long MICROS_PER_MILLI = 1000;

  /** Beyond the age that a view has while nothing fails. */
  private static final long DEFAULT_STALE_AFTER_MILLIS = 6_000;

  private static final long DEFAULT_MAX_AGE_MILLIS = 14_000;
  private static final long LARGEST_AGE_MILLIS = 3_600_000;

  /** Throws with the pointer to the first field at fault, below the one given. */
  public static SubscribedRecordsConfig read(JsonNode json, String pointer) throws SpecException {
    if (!json.isObject()) {
      throw new SpecException(pointer, "is not an object");
    }
    TenantSpecCodec.onlyFields(json, pointer, FIELDS);
    List<DistributorEndpoint> distributors =
        distributors(json.path("distributors"), pointer + "/distributors");
    InetSocketAddress engineAddress =
        json.has("engine") ? address(json, pointer + "/engine", "engine") : null;
    if (distributors.isEmpty() && engineAddress == null) {
      throw new SpecException(pointer + "/distributors", "names nobody to follow");
    }
    return new SubscribedRecordsConfig(
        requiredName(json, pointer, "name"),
        requiredName(json, pointer, "fleet"),
        optionalName(json, pointer, "region"),
        optionalName(json, pointer, "zone"),
        distributors,
        engineAddress,
        json.has("lastKnownGood") ? Path.of(json.path("lastKnownGood").asText()) : null,
        DistributionTimings.STANDARD,
        ageMicros(json, pointer, "staleAfterMs", DEFAULT_STALE_AFTER_MILLIS),
        ageMicros(json, pointer, "greatestAgeMs", DEFAULT_MAX_AGE_MILLIS));
  }

  /** What a subscriber of this process needs to know. */
  Subscriber.Settings subscriberSettings() {
    return new Subscriber.Settings(name, timings, staleAfterMicros);
  }

  /** Selects among the distributors, for one subscriber. */
  DistributorSelector newSelector(Random random) {
    return new DistributorSelector(
        name, region, zone, distributors, timings.reconnectJitterMicros(), random);
  }

  private static List<DistributorEndpoint> distributors(JsonNode list, String pointer)
      throws SpecException {
    List<DistributorEndpoint> distributors = new ArrayList<>();
    for (JsonNode json : list) {
      String each = pointer + "/" + distributors.size();
      TenantSpecCodec.onlyFields(json, each, ENDPOINT_FIELDS);
      address(json, each + "/address", "address");
      distributors.add(
          new DistributorEndpoint(
              json.path("address").asText(),
              optionalName(json, each, "region"),
              optionalName(json, each, "zone")));
    }
    return List.copyOf(distributors);
  }

  private static String optionalName(JsonNode json, String pointer, String field)
      throws SpecException {
    return json.path(field).isMissingNode() ? "" : requiredName(json, pointer, field);
  }

  private static String requiredName(JsonNode json, String pointer, String field)
      throws SpecException {
    JsonNode value = json.path(field);
    if (!value.asText().matches(TenantSpecCodec.NAME)) {
      throw new SpecException(
          pointer + "/" + field, "is not a name of letters, digits, dots and dashes");
    }
    return value.asText();
  }

  private static long ageMicros(JsonNode json, String pointer, String field, long defaultMillis)
      throws SpecException {
    long millis = json.path(field).asLong(defaultMillis);
    long leastMicros = DistributionTimings.STANDARD.maxHealthyAgeMicros();
    if (millis * MICROS_PER_MILLI < leastMicros || millis > LARGEST_AGE_MILLIS) {
      throw new SpecException(
          pointer + "/" + field,
          "is not from "
              + leastMicros / MICROS_PER_MILLI
              + " to "
              + LARGEST_AGE_MILLIS
              + " milliseconds");
    }
    return millis * MICROS_PER_MILLI;
  }

  private static InetSocketAddress address(JsonNode json, String pointer, String field)
      throws SpecException {
    try {
      return GatewayConfig.parseAddress(json.path(field).asText());
    } catch (MalformedInputException | IllegalArgumentException e) {
      throw new SpecException(pointer, "is not an address host:port");
    }
  }
}
