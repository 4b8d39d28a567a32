package shelffront.tenant;

import com.fasterxml.jackson.databind.JsonNode;
import shelffront.routing.Consistency;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.Idempotency;
import shelffront.routing.RequestClass;
import shelffront.tenant.TenantSpecCodec.SpecException;

/** Reads a request class from a tenant document that has passed schema validation. */
final class RequestClassCodec {

  private static final long MICROS_PER_MILLI = 1000;
  private static final String IDEMPOTENT = "repeatable";
  private static final String NON_IDEMPOTENT = "once";

  private RequestClassCodec() {}

  static RequestClass read(JsonNode entry, String pointer) throws SpecException {
    Consistency consistency = consistency(entry.path("read").asText());
    boolean write = consistency == Consistency.WRITE;
    String effect = entry.path("effect").asText(write ? NON_IDEMPOTENT : IDEMPOTENT);
    long deadlineMillis = entry.path("giveUpMs").asLong();
    long latencyObjectiveMillis = entry.path("aimMs").asLong(deadlineMillis);
    if (latencyObjectiveMillis > deadlineMillis) {
      throw new SpecException(
          pointer + "/aimMs",
          "must be at most giveUpMs (" + deadlineMillis + "), but is " + latencyObjectiveMillis);
    }
    if (write && effect.equals(IDEMPOTENT)) {
      throw new SpecException(
          pointer + "/effect",
          "must be \"once\" or \"keyed\" for a class of writes, but is \"repeatable\"");
    }
    if (!write && !effect.equals(IDEMPOTENT)) {
      throw new SpecException(
          pointer + "/effect",
          "must be \"repeatable\" for a class of reads, but is \"" + effect + "\"");
    }
    return new RequestClass(
        entry.path("name").asText(),
        latencyObjectiveMillis * MICROS_PER_MILLI,
        deadlineMillis * MICROS_PER_MILLI,
        entry.path("worth").asDouble(1),
        entry.path("lateShare").asDouble(0),
        idempotency(effect),
        DeduplicationScope.REPLICA_SET,
        entry.path("windowMs").asLong(0) * MICROS_PER_MILLI,
        consistency,
        entry.path("boundMs").asLong(0) * MICROS_PER_MILLI);
  }

  /** Maps the value of "read"; the schema permits no other values. */
  private static Consistency consistency(String read) {
    return switch (read) {
      case "write" -> Consistency.WRITE;
      case "fresh" -> Consistency.STRONG;
      case "session" -> Consistency.SESSION;
      case "bounded" -> Consistency.BOUNDED_STALENESS;
      case "any" -> Consistency.EVENTUAL;
      default -> throw new IllegalArgumentException("unknown value of \"read\": " + read);
    };
  }

  /** Maps the value of "effect"; the schema permits no other values. */
  private static Idempotency idempotency(String effect) {
    return switch (effect) {
      case IDEMPOTENT -> Idempotency.IDEMPOTENT;
      case "keyed" -> Idempotency.IDEMPOTENCY_KEY;
      case NON_IDEMPOTENT -> Idempotency.NON_IDEMPOTENT;
      default -> throw new IllegalArgumentException("unknown value of \"effect\": " + effect);
    };
  }
}
