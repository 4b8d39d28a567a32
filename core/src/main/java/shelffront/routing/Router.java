package shelffront.routing;

import java.util.List;

/**
 * The interface of the decision module: the events an embedding proxy reports and the actions it
 * carries out.
 *
 * <p>All times are microseconds on one clock that never moves backwards, passed in with each event.
 * Positions are times on the same clock: a member at position {@code p} has applied every commit up
 * to {@code p}. The module keeps no clock, thread or random source of its own, so the same events
 * always give the same actions.
 */
public interface Router {

  /**
   * A time or position that was not given, long before any other; far enough from the limits to
   * subtract.
   */
  long UNKNOWN = Long.MIN_VALUE / 4;

  /** What a request class needs of the member that answers it. */
  enum Consistency {
    WRITE,
    STRONG,
    SESSION,
    BOUNDED_STALENESS,
    EVENTUAL
  }

  /** Whether a request may run more than once. */
  enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NON_IDEMPOTENT
  }

  /** The members that discard repeats of a keyed request. */
  enum DeduplicationScope {
    ALL,
    ZONE,
    REPLICA_SET
  }

  /** What a member does with a read for which it lags too far. */
  enum LagCheck {
    NONE,
    REJECT,
    WAIT
  }

  /** Where members' reports about themselves arrive. */
  enum LoadReportSource {
    NONE,
    RESPONSES,
    HEALTH_CHECKS
  }

  /** How the list of members follows the roles. */
  enum ListedRoles {
    NONE,
    AT_START,
    LATE
  }

  /** What a member is, as far as a message told. */
  enum Role {
    UNKNOWN,
    PRIMARY,
    REPLICA
  }

  /** State of a member in the list. */
  enum Availability {
    READY,
    DRAINING,
    REMOVED
  }

  /**
   * Kind of news about the list; {@code REMEMBERED} is the last list before a restart, maybe
   * outdated.
   */
  enum EndpointUpdateKind {
    DELTA,
    SNAPSHOT,
    CACHED,
    FAILED
  }

  /** How an attempt or a probe ended. */
  enum AttemptStatus {
    OK(false),
    ERROR(false),
    CAPACITY_EXCEEDED(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true),
    REPLICA_UNSUITABLE(true);

    /** True when this outcome proves that the request never ran. */
    public final boolean provesNotExecuted;

    AttemptStatus(boolean neverRan) {
      this.provesNotExecuted = neverRan;
    }
  }

  /** One request class. {@code bound} is the greatest age of data, for bounded reads. */
  record RequestClass(
      String name,
      long latencyObjectiveMicros,
      long deadlineMicros,
      double priorityWeight,
      double lateValueFraction,
      Idempotency idempotency,
      DeduplicationScope deduplicationScope,
      long deduplicationWindowMicros,
      Consistency consistency,
      long maxStalenessMicros) {

    public boolean isIdempotent() {
      return idempotency == Idempotency.IDEMPOTENT;
    }

    public boolean isNonIdempotent() {
      return idempotency == Idempotency.NON_IDEMPOTENT;
    }

    /** Whether those of the given scope drop a repeat of a request of this class. */
    public boolean isDeduplicatedWithin(DeduplicationScope given) {
      return idempotency == Idempotency.IDEMPOTENCY_KEY && deduplicationScope == given;
    }

    public boolean isWrite() {
      return consistency == Consistency.WRITE;
    }

    /** Whether only the primary may answer it. */
    public boolean requiresPrimary() {
      return consistency == Consistency.WRITE || consistency == Consistency.STRONG;
    }
  }

  /** The figures of the rules. */
  record SafetyRules(
      long drainGraceMicros,
      double slowStartInitialCapacity,
      long slowStartDurationMicros,
      double overloadFactor,
      long overloadWindowMicros,
      boolean removalIsAdvisory,
      long pollIntervalMicros,
      long responseSlackMicros) {}

  /** What the site permits; a connection that takes longer than its limit to set up fails. */
  record OperatingLimits(
      int maxAttempts,
      long maxRetryAfterMicros,
      boolean retryAfterAllowed,
      boolean cancellationAllowed,
      boolean hedgingAllowed,
      boolean healthChecksAllowed,
      boolean peerMessagesAllowed,
      long connectTimeoutMicros,
      long connectionIdleMicros) {

    /**
     * The wait that a refusal may tell of; 0, which is no advice, where the site does not permit
     * any.
     */
    public long retryAfterMicros(long wait) {
      return retryAfterAllowed ? Math.min(maxRetryAfterMicros, wait) : 0;
    }
  }

  /**
   * Everything an instance is told at its start. {@code tick} is the shortest time between two
   * events.
   */
  record RoutingSettings(
      int gatewayIndex,
      int gatewayCount,
      String zone,
      long tickMicros,
      List<RequestClass> requestClasses,
      LagCheck lagCheck,
      long lagWaitMicros,
      boolean responsesCarryPosition,
      boolean clientsCarryPosition,
      ListedRoles listedRoles,
      boolean endpointListPolled,
      LoadReportSource loadReportSource,
      SafetyRules safetyRules,
      OperatingLimits limits,
      double crossZoneCost,
      double healthCheckCost) {}

  /** A line of the list. {@code startedAt} is 0 when the member has been up for long. */
  record Endpoint(
      String id,
      String kind,
      String zone,
      int replicaSet,
      double capacityHint,
      long startedAtMicros,
      boolean listedAsPrimary,
      Availability availability) {

    public Endpoint withAvailability(Availability other) {
      return new Endpoint(
          id, kind, zone, replicaSet, capacityHint, startedAtMicros, listedAsPrimary, other);
    }
  }

  /** A member's report about itself; negative figures and {@link #UNKNOWN} were not given. */
  record LoadReport(
      long positionMicros, Role role, double outstanding, double queued, double utilization) {}

  /**
   * A request. {@code left} is the time until the client gives up, {@code after} the carried
   * position of the session's last write ({@link #UNKNOWN}: none).
   */
  record Request(
      String id,
      int classIndex,
      String sessionId,
      int replicaSet,
      long timeToDeadlineMicros,
      long requiredPositionMicros,
      boolean clientRetry) {}

  /** How an attempt ended; {@code finished} when the client has had its answer. */
  record AttemptOutcome(
      String requestId,
      int attemptNumber,
      String endpointId,
      AttemptStatus status,
      boolean requestCompleted,
      long elapsedMicros,
      Role role,
      long positionMicros,
      LoadReport loadReport) {}

  void onStart(long now, long seed, RoutingSettings settings);

  void onEndpoints(long now, EndpointUpdateKind kind, long version, List<Endpoint> members);

  void onRequest(long now, Request request);

  void onAttemptOutcome(long now, AttemptOutcome outcome);

  /**
   * Whether an attempt may be written now that a connection is there for it: while it waited its
   * client may have gone, its member may have begun to drain, lost its role or become too old, the
   * window for repeats may have ended. Where not, it ends as NOT_SENT, and its request, if it is
   * open, is looked at again.
   */
  boolean mayStartAttempt(long now, String requestId, int attempt);

  void onHealthCheckResult(
      long now, String member, AttemptStatus status, long took, LoadReport load);

  void onPeerMessage(long now, int from, byte[] payload);

  void onTimer(long now, String name);

  void onClientDisconnected(long now, String requestId);

  /** What the embedding proxy does for the module. */
  interface Actions {

    /** Starts an attempt; {@code timeout} 0 means until the client gives up. */
    void startAttempt(String requestId, String member, long timeout);

    void cancelAttempt(String requestId, int attempt);

    /** Final answer: refused, a further try does no harm. {@code retryAfter} 0 means no advice. */
    void reject(String requestId, long retryAfter);

    /** Final answer: failed, with no promise about its effect. */
    void fail(String requestId);

    void checkHealth(String member);

    void setTimer(String name, long at);

    void watchEndpoints(boolean on);

    void fetchEndpoints();

    /** Sends a message to one peer, or to all for a negative number. */
    void sendToPeers(int peer, byte[] payload);

    void closeIdleConnections(String member);

    void log(String text);
  }
}
