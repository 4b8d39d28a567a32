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
  public record Violation(long at, Rule rule, String what) {

    @Override
    public String toString() {
      return rule + ": " + what;
    }
  }

  /** How far a time limit may be passed: what the network takes, and the clocks' grain. */
  private static final long SLACK = 60_000;

  private static final int MOST_KEPT = 5; // of each rule, in full

  /** One try of a request at a box. */
  public static final class Try {

    final String box;
    final long sentAt;

    /** Since when the gateway waits for it no longer; asked when it matters. */
    final LongSupplier overAt;

    long answeredAt = Long.MAX_VALUE;
    boolean begun;
    boolean neverRan;

    private Try(String box, long sentAt, LongSupplier overAt) {
      this.box = box;
      this.sentAt = sentAt;
      this.overAt = overAt;
    }

    /** The box has written its answer; one that proves that nothing ran. */
    public void answered(long at, boolean provesNothingRan) {
      answeredAt = at;
      neverRan = provesNothingRan;
    }
  }

  /** A request as its client sees it. */
  public static final class Asked {

    public final String id;
    public final RequestClass type;
    public final String key;
    public final String session;
    public final int gateway;
    public final long sentAt;
    public final long deadline;
    public final long mark; // the commit that its session must see
    final List<Try> tries = new ArrayList<>();
    boolean answered;
    boolean excused;
    boolean applied;
    String code;

    private Asked(
        String id,
        RequestClass type,
        String key,
        String session,
        int gateway,
        long sentAt,
        long deadline,
        long mark) {
      this.id = id;
      this.type = type;
      this.key = key;
      this.session = session;
      this.gateway = gateway;
      this.sentAt = sentAt;
      this.deadline = deadline;
      this.mark = mark;
    }

    /** Whether no box has been sent it. */
    public boolean isUntouched() {
      return tries.isEmpty();
    }

    public boolean isAnswered() {
      return answered;
    }
  }

  private final Map<String, Asked> asked = new LinkedHashMap<>();
  private final Map<String, Long> marks = new HashMap<>();
  private final Map<String, Long> drains = new HashMap<>();
  private final Map<String, Integer> effects = new HashMap<>();
  private final Map<String, Long> commits = new HashMap<>();
  private final Set<String> lostKeys = new HashSet<>();
  private final List<Violation> violations = new ArrayList<>();
  private final Map<Rule, Integer> byRule = new EnumMap<>(Rule.class);
  private final boolean carried;
  private final boolean copies;
  private int count;

  /**
   * Marks are the session's where clients carry them, else its gateway's; reads may have a copy out
   * or not.
   */
  public InvariantChecker(boolean carried, boolean copies) {
    this.carried = carried;
    this.copies = copies;
  }

  private String markOf(int gateway, String session) {
    return (carried ? "" : gateway) + "/" + session;
  }

  public void violated(long at, Rule rule, String what) {
    count++;
    if (byRule.merge(rule, 1, Integer::sum) <= MOST_KEPT) {
      violations.add(new Violation(at, rule, what));
    }
  }

  public List<Violation> violations() {
    return violations;
  }

  public int count() {
    return count;
  }

  // ---- From clients
  // --------------------------------------------------------------------------------

  /** The last byte of a request has been written by its client. */
  public Asked asks(
      String id,
      RequestClass type,
      String key,
      String session,
      int gateway,
      long now,
      long deadline) {
    Asked a =
        new Asked(
            id,
            type,
            key,
            session,
            gateway,
            now,
            deadline,
            marks.getOrDefault(markOf(gateway, session), 0L));
    asked.put(id, a);
    return a;
  }

  /** Its answer has come; a code where it is an error, the value else. */
  public void answered(Asked a, long now, String value, String code) {
    if (a.answered) {
      violated(now, Rule.ONE_ANSWER, a.id + " was answered twice");
      return;
    }
    a.answered = true;
    a.code = code;
    if (now > a.deadline + SLACK && !a.excused) {
      violated(
          now,
          Rule.IN_TIME,
          String.format(
              Locale.ROOT,
              "%s was answered %.1f ms after its time",
              a.id,
              (now - a.deadline) / 1e3));
    }
    if (code == null) {
      if (!a.id.equals(value)) {
        violated(now, Rule.RIGHT_VALUE, a.id + " was answered with " + value);
      }
      if (a.type.isWrite() && !a.applied && !lostKeys.contains(a.key)) {
        violated(now, Rule.NOTHING_LOST, a.id + " was told served and has no effect");
      }
      if (a.type.isWrite() && !lostKeys.contains(a.key)) {
        marks.merge(markOf(a.gateway, a.session), commits.getOrDefault(a.key, 0L), Math::max);
      }
    } else if (code.equals("53300") || code.equals("57P03")) {
      for (Try t : a.tries) {
        if (!a.type.isIdempotent() && t.begun && !t.neverRan) {
          violated(now, Rule.TRUE_REFUSAL, a.id + " was told untouched, and had begun at " + t.box);
        }
      }
    }
  }

  /** No answer came and none is owed: its client left, or its gateway was killed. */
  public void excuse(Asked a) {
    a.excused = true;
  }

  /** The client has waited its time out, or the connection has ended, and there is no answer. */
  public void unanswered(Asked a, long now, String how) {
    if (!a.excused && !a.answered) {
      a.answered = true;
      violated(
          now,
          Rule.ONE_ANSWER,
          a.id
              + " ("
              + a.type.name()
              + ") "
              + how
              + ", tries "
              + a.tries.stream().map(t -> t.box).toList());
    }
  }

  // ---- From boxes
  // --------------------------------------------------------------------------------

  /**
   * An attempt has arrived whole; the gateway wrote its last byte at a time, and its end says how
   * long it waits.
   */
  public Try arrives(String id, String box, long now, long writtenAt, LongSupplier overAt) {
    Asked a = asked.get(id);
    if (a == null) {
      violated(now, Rule.RIGHT_VALUE, box + " was sent " + id + ", which nobody asked");
      return new Try(box, writtenAt, overAt);
    }
    Try next = new Try(box, writtenAt, overAt);
    long first = Long.MAX_VALUE;
    int out = 0;
    for (Try t : a.tries) {
      // Of two that take different ways the later may arrive first.
      Try earlier = t.sentAt <= writtenAt ? t : next;
      if (Math.min(earlier.answeredAt, earlier.overAt.getAsLong())
          > Math.max(t.sentAt, writtenAt)) {
        out++;
        if (out > (copies && a.type.isIdempotent() ? 1 : 0)) {
          violated(
              now, Rule.ONE_ATTEMPT_OUT, id + " was sent to " + box + " while out at " + t.box);
        }
      }
      if (t.begun && !t.neverRan) {
        first = Math.min(first, t.sentAt);
      }
    }
    if (first < Long.MAX_VALUE) {
      switch (a.type.idempotency()) {
        case NON_IDEMPOTENT ->
            violated(now, Rule.CLASS_PERMITS, id + " may run once and was sent again to " + box);
        case IDEMPOTENCY_KEY -> {
          if (writtenAt > first + a.type.deduplicationWindowMicros() + SLACK) {
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
    Long told = drains.get(a.gateway + "/" + box);
    if (told != null && writtenAt > told + 2_000_000 + SLACK) {
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
    a.tries.add(next);
    return next;
  }

  /** A box has begun to work on it: from here on it may have run. */
  public void begins(Try t) {
    t.begun = true;
  }

  public void applied(Effect effect, String byId, boolean repeated, long now) {
    Asked a = asked.get(byId);
    if (a != null) {
      a.applied = true;
    }
    // By the key that its client gave: what the box was told may be another.
    String key = a == null ? effect.key() : a.key;
    commits.put(key, effect.commit());
    if (!repeated && effects.merge(key, 1, Integer::sum) > 1) {
      violated(now, Rule.NO_DOUBLE_EFFECT, "the write of key " + key + " took effect twice");
    }
  }

  /** The set itself has lost effects: they may come again, and nobody else is to blame. */
  public void lost(List<Effect> gone) {
    for (Effect e : gone) {
      effects.merge(e.key(), -1, Integer::sum);
      lostKeys.add(e.key());
      marks.replaceAll((session, mark) -> mark == e.commit() ? 0 : mark);
    }
  }

  /**
   * A copy at a position has answered a read; what was sent before {@code known} took it for the
   * primary it was.
   */
  public void read(String id, String box, boolean primary, long position, long now, long known) {
    Asked a = asked.get(id);
    if (a == null || a.tries.isEmpty() || primary) {
      return;
    }
    long sent = a.tries.get(a.tries.size() - 1).sentAt;
    if (sent < known) {
      return;
    }
    if (a.type.consistency() == Consistency.BOUNDED_STALENESS
        && position < sent - a.type.maxStalenessMicros() - SLACK) {
      violated(
          now,
          Rule.FRESH,
          String.format(
              Locale.ROOT,
              "%s was read at %s from a copy %.1f ms old",
              id,
              box,
              (sent - position) / 1e3));
    } else if (a.type.consistency() == Consistency.SESSION && position < a.mark) {
      violated(
          now,
          Rule.OWN_WRITES,
          String.format(
              Locale.ROOT,
              "%s at %s misses its session's write by %.1f ms",
              id,
              box,
              (a.mark - position) / 1e3));
    } else if (a.type.consistency() == Consistency.STRONG) {
      violated(now, Rule.FRESH, id + " had to be current and was read from " + box);
    }
  }

  // ---- From the fleet
  // --------------------------------------------------------------------------------

  /** A gateway has been told that a box drains or is gone. */
  public void drainTold(int gateway, String box, long now) {
    drains.putIfAbsent(gateway + "/" + box, now);
  }

  /** A gateway has been told that a box takes work again. */
  public void drainOver(int gateway, String box) {
    drains.remove(gateway + "/" + box);
  }

  /** A gateway began anew: what was told the one before it is not told to this one. */
  public void restarted(int gateway) {
    drains.keySet().removeIf(k -> k.startsWith(gateway + "/"));
    marks.keySet().removeIf(k -> k.startsWith(gateway + "/"));
  }

  /** By which gateway a request goes; -1 if nobody asked it. */
  public int gatewayOf(String id) {
    Asked a = asked.get(id);
    return a == null ? -1 : a.gateway;
  }

  /** All that were asked. */
  public Iterable<Asked> asked() {
    return asked.values();
  }
}
