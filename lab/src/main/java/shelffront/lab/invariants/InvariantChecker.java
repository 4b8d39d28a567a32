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

  /** After this time a gateway sends nothing more to a host whose drain it was told. */
  private static final long DRAIN_REACTION_MICROS = 2_000_000;

  private static final double MICROS_PER_MILLI = 1e3;
  private static final String CAPACITY_EXCEEDED = "53300";
  private static final String SHUTTING_DOWN = "57P03";
  private static final int MAX_RECORDED_PER_RULE = 5; // of each rule, in full

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
   * @param positionsCarried whether the position of a session's last write goes with the session;
   *     else each gateway remembers its own
   * @param hedgingAllowed whether a read may have two attempts out
   */
  public InvariantChecker(boolean positionsCarried, boolean hedgingAllowed) {
    this.positionsCarried = positionsCarried;
    this.hedgingAllowed = hedgingAllowed;
  }

  private String sessionKey(int gateway, String session) {
    return (positionsCarried ? "" : gateway) + "/" + session;
  }

  /** Records a broken rule; of each rule the first few in full. */
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
    if (now > request.deadlineMicros + SLACK_MICROS && !request.excused) {
      violated(
          now,
          Rule.IN_TIME,
          String.format(
              Locale.ROOT,
              "%s was answered %.1f ms after its time",
              request.id,
              (now - request.deadlineMicros) / MICROS_PER_MILLI));
    }
    if (code == null) {
      checkServed(request, now, value);
    } else if (code.equals(CAPACITY_EXCEEDED) || code.equals(SHUTTING_DOWN)) {
      checkRejection(request, now);
    }
  }

  private void checkServed(CheckedRequest request, long now, String value) {
    if (!request.id.equals(value)) {
      violated(now, Rule.RIGHT_VALUE, request.id + " was answered with " + value);
    }
    if (!request.requestClass.isWrite() || lostKeys.contains(request.key)) {
      return;
    }
    if (!request.applied) {
      violated(now, Rule.NOTHING_LOST, request.id + " was told served and has no effect");
    }
    lastCommits.merge(
        sessionKey(request.gateway, request.session),
        commitByKey.getOrDefault(request.key, 0L),
        Math::max);
  }

  /** A rejection promises that nothing was executed. */
  private void checkRejection(CheckedRequest request, long now) {
    for (Attempt attempt : request.attempts) {
      if (!request.requestClass.isIdempotent() && attempt.mayHaveExecuted()) {
        violated(
            now,
            Rule.TRUE_REFUSAL,
            request.id + " was told untouched, and had begun at " + attempt.host);
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

  /**
   * An attempt has arrived whole; the gateway wrote its last byte at a time, and its end says how
   * long it waits.
   */
  public Attempt attemptArrived(
      String id, String host, long now, long sentAtMicros, LongSupplier abandonedAtMicros) {
    CheckedRequest request = requests.get(id);
    if (request == null) {
      violated(now, Rule.RIGHT_VALUE, host + " was sent " + id + ", which nobody asked");
      return new Attempt(host, sentAtMicros, abandonedAtMicros);
    }
    Attempt next = new Attempt(host, sentAtMicros, abandonedAtMicros);
    checkAttemptsOut(request, next, now);
    checkRepetition(request, next, now);
    checkDrain(request, next, now);
    request.attempts.add(next);
    return next;
  }

  private void checkAttemptsOut(CheckedRequest request, Attempt next, long now) {
    int permitted = hedgingAllowed && request.requestClass.isIdempotent() ? 1 : 0;
    int out = 0;
    for (Attempt attempt : request.attempts) {
      // Of two that take different ways the later may arrive first.
      Attempt earlier = attempt.sentAtMicros <= next.sentAtMicros ? attempt : next;
      if (earlier.isOutAfter(Math.max(attempt.sentAtMicros, next.sentAtMicros))) {
        out++;
        if (out > permitted) {
          violated(
              now,
              Rule.ONE_ATTEMPT_OUT,
              request.id + " was sent to " + next.host + " while out at " + attempt.host);
        }
      }
    }
  }

  private void checkRepetition(CheckedRequest request, Attempt next, long now) {
    long firstMicros = request.firstExecutedMicros();
    if (firstMicros == Long.MAX_VALUE) {
      return;
    }
    switch (request.requestClass.idempotency()) {
      case NON_IDEMPOTENT ->
          violated(
              now,
              Rule.CLASS_PERMITS,
              request.id + " may run once and was sent again to " + next.host);
      case IDEMPOTENCY_KEY -> {
        long windowMicros = request.requestClass.deduplicationWindowMicros();
        if (next.sentAtMicros > firstMicros + windowMicros + SLACK_MICROS) {
          violated(
              now,
              Rule.CLASS_PERMITS,
              String.format(
                  Locale.ROOT,
                  "%s was sent to %s %.1f ms after its first try, past its window",
                  request.id,
                  next.host,
                  (next.sentAtMicros - firstMicros) / MICROS_PER_MILLI));
        }
      }
      default -> {}
    }
  }

  private void checkDrain(CheckedRequest request, Attempt next, long now) {
    Long announcedMicros = drainAnnouncedMicros.get(request.gateway + "/" + next.host);
    if (announcedMicros != null
        && next.sentAtMicros > announcedMicros + DRAIN_REACTION_MICROS + SLACK_MICROS) {
      violated(
          now,
          Rule.DRAIN,
          String.format(
              Locale.ROOT,
              "%s was sent to %s %.1f ms after its drain was told",
              request.id,
              next.host,
              (next.sentAtMicros - announcedMicros) / MICROS_PER_MILLI));
    }
  }

  /** A host has begun to work on it: from here on it may have run. */
  public void executionStarted(Attempt attempt) {
    attempt.started = true;
  }

  /** A write took effect, or was recognized as the repetition of one that did. */
  public void effectApplied(Effect effect, String byId, boolean repeated, long now) {
    CheckedRequest request = requests.get(byId);
    if (request != null) {
      request.applied = true;
    }
    // By the key that its client gave: what the host was told may be another.
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
      String id, String host, boolean primary, long position, long now, long known) {
    CheckedRequest request = requests.get(id);
    if (request == null || request.attempts.isEmpty() || primary) {
      return;
    }
    long sent = request.attempts.get(request.attempts.size() - 1).sentAtMicros;
    if (sent < known) {
      return;
    }
    checkPosition(request, host, position, sent, now);
  }

  private void checkPosition(
      CheckedRequest request, String host, long position, long sent, long now) {
    Consistency consistency = request.requestClass.consistency();
    if (consistency == Consistency.BOUNDED_STALENESS
        && position < sent - request.requestClass.maxStalenessMicros() - SLACK_MICROS) {
      violated(
          now,
          Rule.FRESH,
          String.format(
              Locale.ROOT,
              "%s was read at %s from a copy %.1f ms old",
              request.id,
              host,
              (sent - position) / MICROS_PER_MILLI));
    } else if (consistency == Consistency.SESSION && position < request.requiredPositionMicros) {
      violated(
          now,
          Rule.OWN_WRITES,
          String.format(
              Locale.ROOT,
              "%s at %s misses its session's write by %.1f ms",
              request.id,
              host,
              (request.requiredPositionMicros - position) / MICROS_PER_MILLI));
    } else if (consistency == Consistency.STRONG) {
      violated(now, Rule.FRESH, request.id + " had to be current and was read from " + host);
    }
  }

  /** A gateway has been told that a host drains or is gone. */
  public void drainAnnounced(int gateway, String host, long now) {
    drainAnnouncedMicros.putIfAbsent(gateway + "/" + host, now);
  }

  /** A gateway has been told that a host takes work again. */
  public void drainEnded(int gateway, String host) {
    drainAnnouncedMicros.remove(gateway + "/" + host);
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
