package shelffront.lab.invariants;

import java.util.ArrayList;
import java.util.List;
import shelffront.routing.RequestClass;

/** A request as seen by its client, with its attempts. Times are Unix microseconds. */
public final class CheckedRequest {

  public final String id;
  public final RequestClass requestClass;
  public final String key;
  public final String session;
  public final int gateway;
  public final long sentAtMicros;
  public final long deadlineMicros;

  /** The session position that a read must not fall behind. */
  public final long requiredPositionMicros;

  final List<Attempt> attempts = new ArrayList<>();
  boolean answered;
  boolean exempt;
  boolean applied;

  CheckedRequest(
      String id,
      RequestClass requestClass,
      String key,
      String session,
      int gateway,
      long sentAtMicros,
      long deadlineMicros,
      long requiredPositionMicros) {
    this.id = id;
    this.requestClass = requestClass;
    this.key = key;
    this.session = session;
    this.gateway = gateway;
    this.sentAtMicros = sentAtMicros;
    this.deadlineMicros = deadlineMicros;
    this.requiredPositionMicros = requiredPositionMicros;
  }

  /** Whether no attempt has arrived at a host. */
  public boolean hasNoAttempt() {
    return attempts.isEmpty();
  }

  public boolean isAnswered() {
    return answered;
  }

  /** Send time of the first attempt that may have executed; {@link Long#MAX_VALUE} if none. */
  long firstExecutedMicros() {
    return attempts.stream()
        .filter(Attempt::mayHaveExecuted)
        .mapToLong(attempt -> attempt.sentAtMicros)
        .min()
        .orElse(Long.MAX_VALUE);
  }
}
