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
 * Checks the invariants of a run while it proceeds, based on what clients received and what was
 * executed in the replica sets, never on the gateway's own counters or logs. Times are Unix
 * microseconds. Not thread-safe.
 */
public final class InvariantChecker {

  /** A violated invariant. */
  public record Violation(long atMicros, Rule rule, String description) {

    @Override
    public String toString() {
      return rule + ": " + description;
    }
  }

  /** Tolerance for time limits: network latency and clock resolution. */
  private static final long SLACK_MICROS = 60_000;

  /** Time that a gateway has to stop sending to a host after the announcement of its drain. */
  private static final long DRAIN_REACTION_MICROS = 2_000_000;

  private static final double MICROS_PER_MILLI = 1e3;
  private static final String CAPACITY_EXCEEDED = "53300";
  private static final String SHUTTING_DOWN = "57P03";
  private static final int MAX_RECORDED_PER_RULE = 5;

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
   * @param positionsCarried whether clients carry the session position to each gateway; otherwise
   *     each gateway keeps session positions of its own
   * @param hedgingAllowed whether an idempotent request may have two attempts in flight
   */
  public InvariantChecker(boolean positionsCarried, boolean hedgingAllowed) {
    this.positionsCarried = positionsCarried;
    this.hedgingAllowed = hedgingAllowed;
  }

  private String sessionKey(int gateway, String session) {
    return (positionsCarried ? "" : gateway) + "/" + session;
  }

  /** Counts a violation; only the first five of each rule are kept with their description. */
  public void recordViolation(long atMicros, Rule rule, String description) {
    violationCount++;
    if (countByRule.merge(rule, 1, Integer::sum) <= MAX_RECORDED_PER_RULE) {
      violations.add(new Violation(atMicros, rule, description));
    }
  }

  public List<Violation> violations() {
    return violations;
  }

  public int violationCount() {
    return violationCount;
  }

  /** Registers a request whose last byte the client has written. */
  public CheckedRequest requestSent(
      String id,
      RequestClass requestClass,
      String key,
      String session,
      int gateway,
      long now,
      long deadline) {
    CheckedRequest request =
        new CheckedRequest(
            id,
            requestClass,
            key,
            session,
            gateway,
            now,
            deadline,
            lastCommits.getOrDefault(sessionKey(gateway, session), 0L));
    requests.put(id, request);
    return request;
  }

  /**
   * Checks a response that the client has received.
   *
   * @param value the value, or null for an error
   * @param code the SQLSTATE of an error, or null for a value
   */
  public void answered(CheckedRequest request, long now, String value, String code) {
    if (request.answered) {
      recordViolation(now, Rule.ONE_ANSWER, request.id + " received a second response");
      return;
    }
    request.answered = true;
    if (now > request.deadlineMicros + SLACK_MICROS && !request.exempt) {
      recordViolation(
          now,
          Rule.IN_TIME,
          String.format(
              Locale.ROOT,
              "%s received its response %.1f ms after its deadline",
              request.id,
              (now - request.deadlineMicros) / MICROS_PER_MILLI));
    }
    if (code == null) {
      checkServedResponse(request, now, value);
    } else if (code.equals(CAPACITY_EXCEEDED) || code.equals(SHUTTING_DOWN)) {
      checkRejection(request, now);
    }
  }

  private void checkServedResponse(CheckedRequest request, long now, String value) {
    if (!request.id.equals(value)) {
      recordViolation(
          now,
          Rule.RIGHT_VALUE,
          request.id + " received the value " + value + ", expected its own id");
    }
    if (!request.requestClass.isWrite() || lostKeys.contains(request.key)) {
      return;
    }
    if (!request.applied) {
      recordViolation(
          now, Rule.NOTHING_LOST, request.id + " was reported as served but did not take effect");
    }
    lastCommits.merge(
        sessionKey(request.gateway, request.session),
        commitByKey.getOrDefault(request.key, 0L),
        Math::max);
  }

  /** Checks that nothing was executed, which a rejection guarantees. */
  private void checkRejection(CheckedRequest request, long now) {
    for (Attempt attempt : request.attempts) {
      if (!request.requestClass.isIdempotent() && attempt.mayHaveExecuted()) {
        recordViolation(
            now,
            Rule.TRUE_REFUSAL,
            request.id + " was rejected but may have been executed by " + attempt.host);
      }
    }
  }

  /**
   * Exempts a request from the checks for a late or missing response, for example because its
   * client disconnected or its gateway was killed.
   */
  public void exempt(CheckedRequest request) {
    request.exempt = true;
  }

  /** Handles a request without response after a client timeout or the end of its connection. */
  public void unanswered(CheckedRequest request, long now, String how) {
    if (!request.exempt && !request.answered) {
      request.answered = true;
      recordViolation(
          now,
          Rule.ONE_ANSWER,
          request.id
              + " ("
              + request.requestClass.name()
              + ") "
              + how
              + ", attempts at "
              + request.attempts.stream().map(attempt -> attempt.host).toList());
    }
  }

  /**
   * Checks an attempt that has arrived completely at a host.
   *
   * @param sentAtMicros when the gateway wrote the last byte
   * @param abandonedAtMicros supplies the time at which the gateway stopped waiting
   */
  public Attempt attemptArrived(
      String id, String host, long now, long sentAtMicros, LongSupplier abandonedAtMicros) {
    CheckedRequest request = requests.get(id);
    if (request == null) {
      recordViolation(
          now, Rule.RIGHT_VALUE, host + " received request " + id + ", which no client sent");
      return new Attempt(host, sentAtMicros, abandonedAtMicros);
    }
    Attempt next = new Attempt(host, sentAtMicros, abandonedAtMicros);
    checkAttemptsInFlight(request, next, now);
    checkRetry(request, next, now);
    checkDrain(request, next, now);
    request.attempts.add(next);
    return next;
  }

  private void checkAttemptsInFlight(CheckedRequest request, Attempt next, long now) {
    int permitted = hedgingAllowed && request.requestClass.isIdempotent() ? 1 : 0;
    int inFlight = 0;
    for (Attempt attempt : request.attempts) {
      // Attempts on different connections may arrive in another order than they were sent.
      Attempt earlier = attempt.sentAtMicros <= next.sentAtMicros ? attempt : next;
      if (earlier.isInFlightAfter(Math.max(attempt.sentAtMicros, next.sentAtMicros))) {
        inFlight++;
        if (inFlight > permitted) {
          recordViolation(
              now,
              Rule.ONE_ATTEMPT_OUT,
              request.id + " was sent to " + next.host + " while in flight to " + attempt.host);
        }
      }
    }
  }

  private void checkRetry(CheckedRequest request, Attempt next, long now) {
    long firstMicros = request.firstExecutedMicros();
    if (firstMicros == Long.MAX_VALUE) {
      return;
    }
    switch (request.requestClass.idempotency()) {
      case NON_IDEMPOTENT ->
          recordViolation(
              now,
              Rule.CLASS_PERMITS,
              request.id
                  + " is not idempotent and was sent again to "
                  + next.host
                  + " after an attempt that may have executed");
      case IDEMPOTENCY_KEY -> {
        long windowMicros = request.requestClass.deduplicationWindowMicros();
        if (next.sentAtMicros > firstMicros + windowMicros + SLACK_MICROS) {
          recordViolation(
              now,
              Rule.CLASS_PERMITS,
              String.format(
                  Locale.ROOT,
                  "%s was sent to %s %.1f ms after its first attempt, past its deduplication"
                      + " window",
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
      recordViolation(
          now,
          Rule.DRAIN,
          String.format(
              Locale.ROOT,
              "%s was sent to %s %.1f ms after the announcement of the drain",
              request.id,
              next.host,
              (next.sentAtMicros - announcedMicros) / MICROS_PER_MILLI));
    }
  }

  /** Records that a host has started execution; from now on the attempt may have an effect. */
  public void executionStarted(Attempt attempt) {
    attempt.started = true;
  }

  /** Checks a write that took effect or was recognized as a duplicate. */
  public void effectApplied(Effect effect, String requestId, boolean repeated, long now) {
    CheckedRequest request = requests.get(requestId);
    if (request != null) {
      request.applied = true;
    }
    // Uses the key of the client, because the key that reached the host may differ.
    String key = request == null ? effect.key() : request.key;
    commitByKey.put(key, effect.commitMicros());
    if (!repeated && effectCounts.merge(key, 1, Integer::sum) > 1) {
      recordViolation(now, Rule.NO_DOUBLE_EFFECT, "the write of key " + key + " took effect twice");
    }
  }

  /**
   * Records effects that the replica set lost in a failover. Their writes may take effect again,
   * and their loss is no violation by the gateway.
   */
  public void effectsLost(List<Effect> lost) {
    for (Effect effect : lost) {
      effectCounts.merge(effect.key(), -1, Integer::sum);
      lostKeys.add(effect.key());
      lastCommits.replaceAll(
          (session, position) -> position == effect.commitMicros() ? 0 : position);
    }
  }

  /**
   * Checks a read that a host has served from data at {@code position}. Attempts sent before {@code
   * roleKnownMicros} are not checked, because the gateway could still take the host for the
   * primary.
   */
  public void readServed(
      String id, String host, boolean primary, long position, long now, long roleKnownMicros) {
    CheckedRequest request = requests.get(id);
    if (request == null || request.attempts.isEmpty() || primary) {
      return;
    }
    long sent = request.attempts.get(request.attempts.size() - 1).sentAtMicros;
    if (sent < roleKnownMicros) {
      return;
    }
    checkPosition(request, host, position, sent, now);
  }

  private void checkPosition(
      CheckedRequest request, String host, long position, long sent, long now) {
    Consistency consistency = request.requestClass.consistency();
    if (consistency == Consistency.BOUNDED_STALENESS
        && position < sent - request.requestClass.maxStalenessMicros() - SLACK_MICROS) {
      recordViolation(
          now,
          Rule.FRESH,
          String.format(
              Locale.ROOT,
              "%s was served by %s from data that was %.1f ms old",
              request.id,
              host,
              (sent - position) / MICROS_PER_MILLI));
    } else if (consistency == Consistency.SESSION && position < request.requiredPositionMicros) {
      recordViolation(
          now,
          Rule.OWN_WRITES,
          String.format(
              Locale.ROOT,
              "%s was served by %s at a position %.1f ms before the last write of its session",
              request.id,
              host,
              (request.requiredPositionMicros - position) / MICROS_PER_MILLI));
    } else if (consistency == Consistency.STRONG) {
      recordViolation(
          now, Rule.FRESH, request.id + " is a strong read and was served by the replica " + host);
    }
  }

  /** Records that a gateway has received the drain or removal of a host. */
  public void drainAnnounced(int gateway, String host, long now) {
    drainAnnouncedMicros.putIfAbsent(gateway + "/" + host, now);
  }

  /** Records that a gateway has received that a host accepts requests again. */
  public void drainEnded(int gateway, String host) {
    drainAnnouncedMicros.remove(gateway + "/" + host);
  }

  /** Forgets the announcements and session positions of a gateway process that was replaced. */
  public void gatewayRestarted(int gateway) {
    drainAnnouncedMicros.keySet().removeIf(key -> key.startsWith(gateway + "/"));
    lastCommits.keySet().removeIf(key -> key.startsWith(gateway + "/"));
  }

  /** Returns the index of the gateway that received a request, or -1 if the request is unknown. */
  public int gatewayOf(String id) {
    CheckedRequest request = requests.get(id);
    return request == null ? -1 : request.gateway;
  }

  /** Returns all registered requests. */
  public Iterable<CheckedRequest> requests() {
    return requests.values();
  }
}
