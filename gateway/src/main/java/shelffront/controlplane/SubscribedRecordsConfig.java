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
 * The settings of a gateway, or of a distributor, as a participant in distribution. Times are in
 * microseconds.
 *
 * @param name the name of this process, unique in the fleet
 * @param fleet the name of the fleet, part of the keys of its records in the engine
 * @param distributors the distributors that may be followed; empty if this process follows the
 *     engine directly
 * @param engineAddress the address of the engine's agent; null if this process neither follows nor
 *     changes the records in the engine
 * @param lastKnownGoodFile the file that caches the records in force; null for no cache
 * @param staleAfterMicros age of a distributor's view above which another distributor is selected
 * @param maxAgeMicros age of this process's view above which it reports an error
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

  /** Larger than the maximum age of a view while nothing fails. */
  private static final long DEFAULT_STALE_AFTER_MILLIS = 6_000;

  private static final long DEFAULT_MAX_AGE_MILLIS = 14_000;
  private static final long MAX_AGE_LIMIT_MILLIS = 3_600_000;

  /**
   * Reads the settings; the exception has the JSON pointer of the first invalid field, which starts
   * with the given pointer.
   */
  public static SubscribedRecordsConfig read(JsonNode json, String pointer) throws SpecException {
    if (!json.isObject()) {
      throw new SpecException(pointer, "expected a JSON object");
    }
    TenantSpecCodec.rejectUnknownFields(json, pointer, FIELDS);
    List<DistributorEndpoint> distributors =
        distributors(json.path("distributors"), pointer + "/distributors");
    InetSocketAddress engineAddress =
        json.has("engine") ? address(json, pointer + "/engine", "engine") : null;
    if (distributors.isEmpty() && engineAddress == null) {
      throw new SpecException(
          pointer + "/distributors", "lists no distributor, and the settings have no engine");
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

  /** The settings of the subscriber of this process. */
  Subscriber.Settings subscriberSettings() {
    return new Subscriber.Settings(name, timings, staleAfterMicros);
  }

  /** Creates the distributor selector of one subscriber. */
  DistributorSelector newSelector(Random random) {
    return new DistributorSelector(
        name, region, zone, distributors, timings.reconnectJitterMicros(), random);
  }

  private static List<DistributorEndpoint> distributors(JsonNode list, String pointer)
      throws SpecException {
    List<DistributorEndpoint> distributors = new ArrayList<>();
    for (JsonNode json : list) {
      String endpointPointer = pointer + "/" + distributors.size();
      TenantSpecCodec.rejectUnknownFields(json, endpointPointer, ENDPOINT_FIELDS);
      address(json, endpointPointer + "/address", "address");
      distributors.add(
          new DistributorEndpoint(
              json.path("address").asText(),
              optionalName(json, endpointPointer, "region"),
              optionalName(json, endpointPointer, "zone")));
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
    if (!value.asText().matches(TenantSpecCodec.NAME_PATTERN)) {
      throw new SpecException(
          pointer + "/" + field,
          "is not a name of up to 64 letters, digits, dots, dashes and underscores: " + value);
    }
    return value.asText();
  }

  private static long ageMicros(JsonNode json, String pointer, String field, long defaultMillis)
      throws SpecException {
    long millis = json.path(field).asLong(defaultMillis);
    long minMicros = DistributionTimings.STANDARD.maxHealthyAgeMicros();
    if (millis * MICROS_PER_MILLI < minMicros || millis > MAX_AGE_LIMIT_MILLIS) {
      throw new SpecException(
          pointer + "/" + field,
          "must be from "
              + minMicros / MICROS_PER_MILLI
              + " to "
              + MAX_AGE_LIMIT_MILLIS
              + " milliseconds, found "
              + millis);
    }
    return millis * MICROS_PER_MILLI;
  }

  private static InetSocketAddress address(JsonNode json, String pointer, String field)
      throws SpecException {
    try {
      return GatewayConfig.parseAddress(json.path(field).asText());
    } catch (MalformedInputException | IllegalArgumentException e) {
      throw new SpecException(
          pointer,
          "expected an IP address and port such as 127.0.0.1:5432, but found " + json.path(field));
    }
  }
}
