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
    FRESH,
    SESSION,
    BOUNDED,
    ANY
  }

  /** Whether a request may run more than once. */
  enum Idempotency {
    REPEATABLE,
    KEYED,
    ONCE
  }

  /** The members that discard repeats of a keyed request. */
  enum DeduplicationScope {
    ALL,
    ZONE,
    GROUP
  }

  /** What a member does with a read for which it lags too far. */
  enum LagCheck {
    NONE,
    REFUSE,
    WAIT
  }

  /** Where members' reports about themselves arrive. */
  enum LoadReportSource {
    NONE,
    ANSWERS,
    PROBES
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
    LIVE,
    DRAINING,
    GONE
  }

  /**
   * Kind of news about the list; {@code REMEMBERED} is the last list before a restart, maybe
   * outdated.
   */
  enum EndpointUpdateKind {
    CHANGES,
    ALL,
    REMEMBERED,
    FAILED
  }

  /** How an attempt or a probe ended. */
  enum AttemptStatus {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true),
    MISS(true);

    /** True when this outcome proves that the request never ran. */
    public final boolean neverRan;

    AttemptStatus(boolean neverRan) {
      this.neverRan = neverRan;
    }
  }

  /** One request class. {@code bound} is the greatest age of data, for bounded reads. */
  record RequestClass(
      String name,
      long aim,
      long deadline,
      double worth,
      double lateShare,
      Idempotency effect,
      DeduplicationScope scope,
      long window,
      Consistency read,
      long bound) {

    public boolean repeatable() {
      return effect == Idempotency.REPEATABLE;
    }

    public boolean once() {
      return effect == Idempotency.ONCE;
    }

    /** Whether those of the given scope drop a repeat of a request of this class. */
    public boolean keyedFor(DeduplicationScope given) {
      return effect == Idempotency.KEYED && scope == given;
    }

    public boolean writes() {
      return read == Consistency.WRITE;
    }

    /** Whether only the primary may answer it. */
    public boolean needsPrimary() {
      return read == Consistency.WRITE || read == Consistency.FRESH;
    }
  }

  /** The figures of the rules. */
  record SafetyRules(
      long drainGrace,
      double coldFrom,
      long coldTime,
      double fallMultiple,
      long fallTime,
      boolean softRemoval,
      long askWithin,
      long answerSlack) {}

  /** What the site permits; a connection that takes longer than its limit to set up fails. */
  record OperatingLimits(
      int attempts,
      long maxRetryAfter,
      boolean retryAfter,
      boolean cancel,
      boolean duplicate,
      boolean probe,
      boolean tell,
      long connectTimeout,
      long connectionIdle) {

    /**
     * The wait that a refusal may tell of; 0, which is no advice, where the site does not permit
     * any.
     */
    public long toldWait(long wait) {
      return retryAfter ? Math.min(maxRetryAfter, wait) : 0;
    }
  }

  /**
   * Everything an instance is told at its start. {@code tick} is the shortest time between two
   * events.
   */
  record RoutingSettings(
      int self,
      int routers,
      String zone,
      long tick,
      List<RequestClass> classes,
      LagCheck check,
      long hold,
      boolean answersStamped,
      boolean tokensCarried,
      ListedRoles listRole,
      boolean listAsked,
      LoadReportSource reports,
      SafetyRules rules,
      OperatingLimits limits,
      double crossZonePrice,
      double probePrice) {}

  /** A line of the list. {@code startedAt} is 0 when the member has been up for long. */
  record Endpoint(
      String id,
      String kind,
      String zone,
      int group,
      double size,
      long startedAt,
      boolean primary,
      Availability availability) {

    public Endpoint as(Availability other) {
      return new Endpoint(id, kind, zone, group, size, startedAt, primary, other);
    }
  }

  /** A member's report about itself; negative figures and {@link #UNKNOWN} were not given. */
  record LoadReport(
      long position, Role role, double outstanding, double queued, double utilization) {}

  /**
   * A request. {@code left} is the time until the client gives up, {@code after} the carried
   * position of the session's last write ({@link #UNKNOWN}: none).
   */
  record Request(
      String id,
      int classIndex,
      String session,
      int group,
      long left,
      long after,
      boolean repeat) {}

  /** How an attempt ended; {@code finished} when the client has had its answer. */
  record AttemptOutcome(
      String requestId,
      int attempt,
      String member,
      AttemptStatus status,
      boolean finished,
      long took,
      Role role,
      long position,
      LoadReport load) {}

  void onStart(long now, long seed, RoutingSettings settings);

  void onMembers(long now, EndpointUpdateKind kind, long version, List<Endpoint> members);

  void onRequest(long now, Request request);

  void onOutcome(long now, AttemptOutcome outcome);

  /**
   * Whether an attempt may be written now that a connection is there for it: while it waited its
   * client may have gone, its member may have begun to drain, lost its role or become too old, the
   * window for repeats may have ended. Where not, it ends as NOT_SENT, and its request, if it is
   * open, is looked at again.
   */
  boolean mayStart(long now, String requestId, int attempt);

  void onProbeResult(long now, String member, AttemptStatus status, long took, LoadReport load);

  void onMessage(long now, int from, byte[] payload);

  void onTimer(long now, String name);

  void onClientGone(long now, String requestId);

  /** What the embedding proxy does for the module. */
  interface Actions {

    /** Starts an attempt; {@code timeout} 0 means until the client gives up. */
    void send(String requestId, String member, long timeout);

    void cancel(String requestId, int attempt);

    /** Final answer: refused, a further try does no harm. {@code retryAfter} 0 means no advice. */
    void reject(String requestId, long retryAfter);

    /** Final answer: failed, with no promise about its effect. */
    void fail(String requestId);

    void probe(String member);

    void setTimer(String name, long at);

    void subscribe(boolean on);

    void fetchList();

    /** Sends a message to one peer, or to all for a negative number. */
    void tellPeers(int peer, byte[] payload);

    void closeIdle(String member);

    void log(String text);
  }
}
