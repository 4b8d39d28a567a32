package shelffront.lab.invariants;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import shelffront.lab.model.ReplicaSetModel.Effect;
import shelffront.routing.Consistency;
import shelffront.routing.RequestClass;

/**
 * Holds a run against the rules as it goes, from what clients saw and what truly happened in the
 * sets, never from the gateway's own account. Times are Unix microseconds.
 */
public final class InvariantChecker {

  /** The rules, and what else must hold. */
  public enum Rule {
    ONE_ANSWER,
    IN_TIME,
    RIGHT_VALUE,
    ONE_ATTEMPT_OUT,
    CLASS_PERMITS,
    NO_DOUBLE_EFFECT,
    NOTHING_LOST,
    TRUE_REFUSAL,
    DRAIN,
    COLD,
    FRESH,
    OWN_WRITES,
    NOTHING_LEFT,
    NO_FAULT
  }

  /** A broken rule. */
  public record Violation(long atMicros, Rule rule, String description) {

    @Override
    public String toString() {
      return rule + ": " + description;
    }
  }

  /** How far a time limit may be passed: what the network takes, and the clocks' grain. */
  private static final long SLACK_MICROS = 60_000;

  private static final int MAX_RECORDED_PER_RULE = 5; // of each rule, in full

  /** One try of a request at a box. */
  public static final class Attempt {

    final String host;
    final long sentAtMicros;

    /** Since when the gateway waits for it no longer; asked when it matters. */
    final LongSupplier abandonedAtMicros;

    long answeredAtMicros = Long.MAX_VALUE;
    boolean started;
    boolean provedNotExecuted;

    private Attempt(String box, long sentAt, LongSupplier overAt) {
      this.host = box;
      this.sentAtMicros = sentAt;
      this.abandonedAtMicros = overAt;
    }

    /** The box has written its answer; one that proves that nothing ran. */
    public void answered(long atMicros, boolean provesNothingRan) {
      answeredAtMicros = atMicros;
      provedNotExecuted = provesNothingRan;
    }
  }

  /** A request as its client sees it. */
  public static final class CheckedRequest {

    public final String id;
    public final RequestClass requestClass;
    public final String key;
    public final String session;
    public final int gateway;
    public final long sentAtMicros;
    public final long deadlineMicros;
    public final long requiredPositionMicros; // the commit that its session must see
    final List<Attempt> attempts = new ArrayList<>();
    boolean answered;
    boolean excused;
    boolean applied;
    String code;

    private CheckedRequest(
        String id,
        RequestClass type,
        String key,
        String session,
        int gateway,
        long sentAt,
        long deadline,
        long mark) {
      this.id = id;
      this.requestClass = type;
      this.key = key;
      this.session = session;
      this.gateway = gateway;
      this.sentAtMicros = sentAt;
      this.deadlineMicros = deadline;
      this.requiredPositionMicros = mark;
    }

    /** Whether no box has been sent it. */
    public boolean hasNoAttempt() {
      return attempts.isEmpty();
    }

    public boolean isAnswered() {
      return answered;
    }
  }

  private final Map<String, CheckedRequest> requests = new LinkedHashMap<>();
  private final Map<String, Long> lastCommits = new HashMap<>();
  private final Map<String, Long> drainAnnouncedMicros = new HashMap<>();
  private final Map<String, Integer> effectCounts = new HashMap<>();
  private final Map<String, Long> commitByKey = new HashMap<>();
  private final Set<String> lostKeys = new HashSet<>();
  private final List<Violation> violations = new ArrayList<>();
  private final Map<Rule, Integer> countByRule = new EnumMap<>(Rule.class);
  private final boolean positionsCarried;
  private final boolean hedgingAllowed;
  private int violationCount;

  /**
   * Marks are the session's where clients carry them, else its gateway's; reads may have a copy out
   * or not.
   */
  public InvariantChecker(boolean carried, boolean copies) {
    this.positionsCarried = carried;
    this.hedgingAllowed = copies;
  }

  private String sessionKey(int gateway, String session) {
    return (positionsCarried ? "" : gateway) + "/" + session;
  }

  public void violated(long atMicros, Rule rule, String what) {
    violationCount++;
    if (countByRule.merge(rule, 1, Integer::sum) <= MAX_RECORDED_PER_RULE) {
      violations.add(new Violation(atMicros, rule, what));
    }
  }

  public List<Violation> violations() {
    return violations;
  }

  public int violationCount() {
    return violationCount;
  }

  // ---- From clients
  // --------------------------------------------------------------------------------

  /** The last byte of a request has been written by its client. */
  public CheckedRequest requestSent(
      String id,
      RequestClass type,
      String key,
      String session,
      int gateway,
      long now,
      long deadline) {
    CheckedRequest request =
        new CheckedRequest(
            id,
            type,
            key,
            session,
            gateway,
            now,
            deadline,
            lastCommits.getOrDefault(sessionKey(gateway, session), 0L));
    requests.put(id, request);
    return request;
  }

  /** Its answer has come; a code where it is an error, the value else. */
  public void answered(CheckedRequest request, long now, String value, String code) {
    if (request.answered) {
      violated(now, Rule.ONE_ANSWER, request.id + " was answered twice");
      return;
    }
    request.answered = true;
    request.code = code;
    if (now > request.deadlineMicros + SLACK_MICROS && !request.excused) {
      violated(
          now,
          Rule.IN_TIME,
          String.format(
              Locale.ROOT,
              "%s was answered %.1f ms after its time",
              request.id,
              (now - request.deadlineMicros) / 1e3));
    }
    if (code == null) {
      if (!request.id.equals(value)) {
        violated(now, Rule.RIGHT_VALUE, request.id + " was answered with " + value);
      }
      if (request.requestClass.isWrite() && !request.applied && !lostKeys.contains(request.key)) {
        violated(now, Rule.NOTHING_LOST, request.id + " was told served and has no effect");
      }
      if (request.requestClass.isWrite() && !lostKeys.contains(request.key)) {
        lastCommits.merge(
            sessionKey(request.gateway, request.session),
            commitByKey.getOrDefault(request.key, 0L),
            Math::max);
      }
    } else if (code.equals("53300") || code.equals("57P03")) {
      for (Attempt attempt : request.attempts) {
        if (!request.requestClass.isIdempotent() && attempt.started && !attempt.provedNotExecuted) {
          violated(
              now,
              Rule.TRUE_REFUSAL,
              request.id + " was told untouched, and had begun at " + attempt.host);
        }
      }
    }
  }

  /** No answer came and none is owed: its client left, or its gateway was killed. */
  public void excuse(CheckedRequest request) {
    request.excused = true;
  }

  /** The client has waited its time out, or the connection has ended, and there is no answer. */
  public void unanswered(CheckedRequest request, long now, String how) {
    if (!request.excused && !request.answered) {
      request.answered = true;
      violated(
          now,
          Rule.ONE_ANSWER,
          request.id
              + " ("
              + request.requestClass.name()
              + ") "
              + how
              + ", tries "
              + request.attempts.stream().map(attempt -> attempt.host).toList());
    }
  }

  // ---- From boxes
  // --------------------------------------------------------------------------------

  /**
   * An attempt has arrived whole; the gateway wrote its last byte at a time, and its end says how
   * long it waits.
   */
  public Attempt attemptArrived(
      String id, String box, long now, long writtenAt, LongSupplier overAt) {
    CheckedRequest request = requests.get(id);
    if (request == null) {
      violated(now, Rule.RIGHT_VALUE, box + " was sent " + id + ", which nobody asked");
      return new Attempt(box, writtenAt, overAt);
    }
    Attempt next = new Attempt(box, writtenAt, overAt);
    long first = Long.MAX_VALUE;
    int out = 0;
    for (Attempt attempt : request.attempts) {
      // Of two that take different ways the later may arrive first.
      Attempt earlier = attempt.sentAtMicros <= writtenAt ? attempt : next;
      if (Math.min(earlier.answeredAtMicros, earlier.abandonedAtMicros.getAsLong())
          > Math.max(attempt.sentAtMicros, writtenAt)) {
        out++;
        if (out > (hedgingAllowed && request.requestClass.isIdempotent() ? 1 : 0)) {
          violated(
              now,
              Rule.ONE_ATTEMPT_OUT,
              id + " was sent to " + box + " while out at " + attempt.host);
        }
      }
      if (attempt.started && !attempt.provedNotExecuted) {
        first = Math.min(first, attempt.sentAtMicros);
      }
    }
    if (first < Long.MAX_VALUE) {
      switch (request.requestClass.idempotency()) {
        case NON_IDEMPOTENT ->
            violated(now, Rule.CLASS_PERMITS, id + " may run once and was sent again to " + box);
        case IDEMPOTENCY_KEY -> {
          if (writtenAt > first + request.requestClass.deduplicationWindowMicros() + SLACK_MICROS) {
            violated(
                now,
                Rule.CLASS_PERMITS,
                String.format(
                    Locale.ROOT,
                    "%s was sent to %s %.1f ms after its first try, past its window",
                    id,
                    box,
                    (writtenAt - first) / 1e3));
          }
        }
        default -> {}
      }
    }
    Long told = drainAnnouncedMicros.get(request.gateway + "/" + box);
    if (told != null && writtenAt > told + 2_000_000 + SLACK_MICROS) {
      violated(
          now,
          Rule.DRAIN,
          String.format(
              Locale.ROOT,
              "%s was sent to %s %.1f ms after its drain was told",
              id,
              box,
              (writtenAt - told) / 1e3));
    }
    request.attempts.add(next);
    return next;
  }

  /** A box has begun to work on it: from here on it may have run. */
  public void executionStarted(Attempt attempt) {
    attempt.started = true;
  }

  public void effectApplied(Effect effect, String byId, boolean repeated, long now) {
    CheckedRequest request = requests.get(byId);
    if (request != null) {
      request.applied = true;
    }
    // By the key that its client gave: what the box was told may be another.
    String key = request == null ? effect.key() : request.key;
    commitByKey.put(key, effect.commitMicros());
    if (!repeated && effectCounts.merge(key, 1, Integer::sum) > 1) {
      violated(now, Rule.NO_DOUBLE_EFFECT, "the write of key " + key + " took effect twice");
    }
  }

  /** The set itself has lost effects: they may come again, and nobody else is to blame. */
  public void effectsLost(List<Effect> gone) {
    for (Effect effect : gone) {
      effectCounts.merge(effect.key(), -1, Integer::sum);
      lostKeys.add(effect.key());
      lastCommits.replaceAll((session, mark) -> mark == effect.commitMicros() ? 0 : mark);
    }
  }

  /**
   * A copy at a position has answered a read; what was sent before {@code known} took it for the
   * primary it was.
   */
  public void readServed(
      String id, String box, boolean primary, long position, long now, long known) {
    CheckedRequest request = requests.get(id);
    if (request == null || request.attempts.isEmpty() || primary) {
      return;
    }
    long sent = request.attempts.get(request.attempts.size() - 1).sentAtMicros;
    if (sent < known) {
      return;
    }
    if (request.requestClass.consistency() == Consistency.BOUNDED_STALENESS
        && position < sent - request.requestClass.maxStalenessMicros() - SLACK_MICROS) {
      violated(
          now,
          Rule.FRESH,
          String.format(
              Locale.ROOT,
              "%s was read at %s from a copy %.1f ms old",
              id,
              box,
              (sent - position) / 1e3));
    } else if (request.requestClass.consistency() == Consistency.SESSION
        && position < request.requiredPositionMicros) {
      violated(
          now,
          Rule.OWN_WRITES,
          String.format(
              Locale.ROOT,
              "%s at %s misses its session's write by %.1f ms",
              id,
              box,
              (request.requiredPositionMicros - position) / 1e3));
    } else if (request.requestClass.consistency() == Consistency.STRONG) {
      violated(now, Rule.FRESH, id + " had to be current and was read from " + box);
    }
  }

  // ---- From the fleet
  // --------------------------------------------------------------------------------

  /** A gateway has been told that a box drains or is gone. */
  public void drainAnnounced(int gateway, String box, long now) {
    drainAnnouncedMicros.putIfAbsent(gateway + "/" + box, now);
  }

  /** A gateway has been told that a box takes work again. */
  public void drainEnded(int gateway, String box) {
    drainAnnouncedMicros.remove(gateway + "/" + box);
  }

  /** A gateway began anew: what was told the one before it is not told to this one. */
  public void gatewayRestarted(int gateway) {
    drainAnnouncedMicros.keySet().removeIf(key -> key.startsWith(gateway + "/"));
    lastCommits.keySet().removeIf(key -> key.startsWith(gateway + "/"));
  }

  /** By which gateway a request goes; -1 if nobody asked it. */
  public int gatewayOf(String id) {
    CheckedRequest request = requests.get(id);
    return request == null ? -1 : request.gateway;
  }

  /** All that were asked. */
  public Iterable<CheckedRequest> requests() {
    return requests.values();
  }
}
